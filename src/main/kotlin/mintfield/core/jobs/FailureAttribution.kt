package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine

/**
 * Attributes failures of tasks to their jobs or to their machines.
 *
 * The first failures of a job count against both. Once a task of the job succeeds, they are attributed to the machines; once the job
 * has failed on several machines with no success anywhere, to the job, and the machines are cleared. So a broken job neither
 * gets healthy machines released nor takes slots and image fetches for all of its tasks with each try.
 */
class FailureAttribution(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** A task of [job] has succeeded on [machine]. */
    fun succeeded(
        job: Job,
        machine: Machine,
        nowMs: Long,
    ) {
        machine.failureRecord.recordSuccess()
        job.failureRecord.recordSuccess()
        if (job.health != JobHealth.HEALTHY) becameHealthy(job, nowMs)
    }

    /** A task of [job] has failed on [machine], [ranMs] after it was first seen to run. */
    fun failed(
        job: Job,
        machine: Machine,
        ranMs: Long,
        nowMs: Long,
    ) {
        job.failureRecord.recordFailure(machine, ranMs, nowMs)
        when (job.health) {
            JobHealth.HEALTHY -> machine.failureRecord.recordMachineFailure()

            JobHealth.SUSPECT -> {
                job.failureRecord.probeFailed(nowMs)
                return
            }

            JobHealth.UNKNOWN -> {
                machine.failureRecord.recordUnattributedFailure(job.id)
                job.failureRecord.addUnattributed(machine)
                cluster.unprovenJobs.add(job)
                if (hasFailedOnSoundMachines(job)) return becameSuspect(job, nowMs)
            }
        }
        val record = machine.failureRecord
        if (record.failures >= PlacementConstants.QUARANTINE_FAILURES && nowMs >= record.quarantinedUntilMs) quarantine(machine, nowMs)
    }

    private fun hasFailedOnSoundMachines(job: Job): Boolean {
        val soundMachines =
            job.failureRecord.unattributedFailures.keys
                .count { it.failureRecord.attributedFailures == 0 }
        return soundMachines >= PlacementConstants.SUSPECT_JOB_MACHINES
    }

    /** A machine that fails what it is given is always empty, and would draw ever more tasks. A single job may as well be the cause itself. */
    private fun quarantine(
        machine: Machine,
        nowMs: Long,
    ) {
        val record = machine.failureRecord
        val certain = record.attributedFailures > 0 || record.suspectJobs >= 2
        val causes = "${record.attributedFailures} attributed to it, the rest to ${record.suspectJobs} unproven jobs"
        log("${machine.id} fails ${record.failures} tasks in a row, $causes: quarantined${if (certain) "" else " for a moment"}")
        record.quarantineUntil(nowMs + if (certain) PlacementConstants.QUARANTINE_MS else PlacementConstants.SHORT_QUARANTINE_MS)
    }

    private fun becameSuspect(
        job: Job,
        nowMs: Long,
    ) {
        val record = job.failureRecord
        log("${job.id}: suspect, failed ${record.failures} times on ${record.failedOn.size} machines: probed with few tasks from now on")
        record.becomeSuspect(nowMs)
        for ((machine, failures) in record.unattributedFailures) machine.failureRecord.attributeToJob(job.id, failures, nowMs)
        record.clearUnattributed()
        // What has not begun would take slots and fetches only to fail. What runs may yet show that the job is healthy.
        job.activeAttempts.filter { it.state < AttemptState.RUNNING }.forEach { cluster.stop(it, nowMs, "the job is suspect", quietly = true) }
    }

    /** The failures so far are attributed to the machines that have not succeeded since. */
    private fun becameHealthy(
        job: Job,
        nowMs: Long,
    ) {
        val record = job.failureRecord
        if (job.health == JobHealth.SUSPECT) log("${job.id}: healthy, it runs in full again")
        record.becomeHealthy(nowMs)
        cluster.unprovenJobs.remove(job)
        for ((machine, failures) in record.unattributedFailures) machine.failureRecord.attributeToMachine(job.id, failures)
        record.clearUnattributed()
    }

    /** Finds the unproven jobs healthy that have a task which has run for much longer than others took to fail. */
    fun checkUnprovenJobs(nowMs: Long) {
        if (cluster.unprovenJobs.isEmpty()) return
        for (job in cluster.unprovenJobs.toList()) {
            val enoughMs = maxOf(PlacementConstants.HEALTHY_RUN_MS, job.failureRecord.longestFailMs * HEALTHY_RUN_FACTOR)
            if (job.activeAttempts.any { it.state == AttemptState.RUNNING && nowMs - it.changedAtMs > enoughMs }) becameHealthy(job, nowMs)
        }
    }

    /** Takes over from an earlier leader that [job] is suspect, after [probes] probes. */
    fun restore(
        job: Job,
        probes: Int,
    ) {
        if (job.health != JobHealth.UNKNOWN || job.doneTasks > 0) return
        job.failureRecord.restoreSuspect(probes)
        cluster.unprovenJobs.add(job)
    }

    private companion object {
        /** A task that runs for this many times the longest run of a failed one shows that its job is healthy. */
        const val HEALTHY_RUN_FACTOR = 3
    }
}
