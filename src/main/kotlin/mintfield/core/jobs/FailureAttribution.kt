package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine

/**
 * Attributes task failures to their jobs or to their machines.
 *
 * The first failures of a job count against both. Once a task of the job succeeds, the failures are attributed to the machines. Once
 * the job has failed on several machines without any success, they are attributed to the job, and no longer count against the
 * machines. A broken job therefore neither causes the release of healthy machines nor uses slots and image fetches for all of its
 * tasks with each retry.
 */
class FailureAttribution(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Records that a task of [job] has succeeded on [machine]. */
    fun recordSuccess(
        job: Job,
        machine: Machine,
        nowMs: Long,
    ) {
        machine.failureRecord.recordSuccess()
        job.failureRecord.recordSuccess()
        if (job.health != JobHealth.HEALTHY) markHealthy(job, nowMs)
    }

    /** Records that a task of [job] has failed on [machine], [ranMs] milliseconds after a heartbeat first showed it running. */
    fun recordFailure(
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
                if (hasFailedOnHealthyMachines(job)) return markSuspect(job, nowMs)
            }
        }
        val record = machine.failureRecord
        if (record.failures >= PlacementConstants.QUARANTINE_FAILURES && nowMs >= record.quarantinedUntilMs) quarantine(machine, nowMs)
    }

    private fun hasFailedOnHealthyMachines(job: Job): Boolean {
        val healthyMachines =
            job.failureRecord.unattributedFailures.keys
                .count { it.failureRecord.attributedFailures == 0 }
        return healthyMachines >= PlacementConstants.SUSPECT_JOB_MACHINES
    }

    /**
     * Quarantines [machine]: a machine that fails all of its tasks is always empty and would attract ever more of them. The quarantine is
     * short if a single unproven job accounts for all failures, since the job itself may be the cause.
     */
    private fun quarantine(
        machine: Machine,
        nowMs: Long,
    ) {
        val record = machine.failureRecord
        val certain = record.attributedFailures > 0 || record.suspectJobs >= 2
        val causes = "${record.attributedFailures} attributed to the machine, the rest to ${record.suspectJobs} unproven jobs"
        log("${machine.id}: ${record.failures} consecutive task failures, $causes: quarantined${if (certain) "" else " briefly"}")
        record.quarantineUntil(nowMs + if (certain) PlacementConstants.QUARANTINE_MS else PlacementConstants.SHORT_QUARANTINE_MS)
    }

    private fun markSuspect(
        job: Job,
        nowMs: Long,
    ) {
        val record = job.failureRecord
        log("${job.id}: suspect after ${record.failures} failures on ${record.failedOn.size} machines, probed with few tasks from now on")
        record.becomeSuspect(nowMs)
        for ((machine, failures) in record.unattributedFailures) machine.failureRecord.attributeToJob(job.id, failures, nowMs)
        record.clearUnattributed()
        // Attempts that do not run yet would use slots and image fetches only to fail. Running ones may still prove the job healthy.
        job.activeAttempts.filter { it.state < AttemptState.RUNNING }.forEach { cluster.stop(it, nowMs, "the job is suspect", quietly = true) }
    }

    /** Marks [job] healthy and attributes its failures so far to the machines that have had no success since. */
    private fun markHealthy(
        job: Job,
        nowMs: Long,
    ) {
        val record = job.failureRecord
        if (job.health == JobHealth.SUSPECT) log("${job.id}: healthy, runs without a limit on its tasks again")
        record.becomeHealthy(nowMs)
        cluster.unprovenJobs.remove(job)
        for ((machine, failures) in record.unattributedFailures) machine.failureRecord.attributeToMachine(job.id, failures)
        record.clearUnattributed()
    }

    /** Marks unproven jobs healthy if one of their tasks has run for much longer than their failed tasks did. */
    fun checkUnprovenJobs(nowMs: Long) {
        if (cluster.unprovenJobs.isEmpty()) return
        for (job in cluster.unprovenJobs.toList()) {
            val enoughMs = maxOf(PlacementConstants.HEALTHY_RUN_MS, job.failureRecord.longestFailMs * HEALTHY_RUN_FACTOR)
            if (job.activeAttempts.any { it.state == AttemptState.RUNNING && nowMs - it.changedAtMs > enoughMs }) markHealthy(job, nowMs)
        }
    }

    /** Restores the state of an earlier leader, for which [job] was suspect and had been probed [probes] times. */
    fun restore(
        job: Job,
        probes: Int,
    ) {
        if (job.health != JobHealth.UNKNOWN || job.doneTasks > 0) return
        job.failureRecord.restoreSuspect(probes)
        cluster.unprovenJobs.add(job)
    }

    private companion object {
        /** Multiple of the longest run of a failed task after which a running task proves its job healthy. */
        const val HEALTHY_RUN_FACTOR = 3
    }
}
