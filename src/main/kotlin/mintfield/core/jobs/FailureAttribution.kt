package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine

/** What is believed of a job, by how its tasks end. */
enum class JobHealth {
    /** No task has succeeded or failed often enough to tell. */
    UNKNOWN,

    /** A task is done, or has run for much longer than others took to fail: failures are their machines'. */
    HEALTHY,

    /** It fails wherever it is tried, as a job submitted with a mistake does: it is tried with few tasks, ever more slowly. */
    SUSPECT,
}

/**
 * Whether a failure is the job's or the machine's. The first failures of a job accuse both. Once a task of it succeeds, the
 * machines that failed it are blamed; once it has failed on several machines with no success anywhere, they are cleared.
 * Without that, two broken jobs on one rack scheduled for release it, and a broken job of hundreds of tasks took that many slots and
 * image fetches with every try.
 */
class FailureAttribution(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    fun succeeded(
        job: Job,
        m: Machine,
        nowMs: Long,
    ) {
        m.failureRecord.succeeded()
        job.failures = 0
        if (job.health != JobHealth.HEALTHY) clear(job, nowMs)
    }

    /** A task of [job] failed on [m], [afterMs] after it was first seen to run. */
    fun failed(
        job: Job,
        m: Machine,
        afterMs: Long,
        nowMs: Long,
    ) {
        job.failures++
        job.failedOn.add(m.id)
        job.longestFailMs = maxOf(job.longestFailMs, afterMs)
        job.notBeforeMs = nowMs + PlacementConstants.FAILURE_BACKOFF_MS
        when (job.health) {
            JobHealth.HEALTHY -> {
                m.failureRecord.failedByMachine()
            }

            JobHealth.SUSPECT -> {
                job.notBeforeMs =
                    nowMs + minOf(PlacementConstants.PROBE_BACKOFF_MS shl minOf(job.probes++, MOST_DOUBLINGS), PlacementConstants.MAX_PROBE_BACKOFF_MS)
                return
            }

            JobHealth.UNKNOWN -> {
                m.failureRecord.failedForUnknownCause(job.id)
                job.failuresByMachine.merge(m, 1, Int::plus)
                cluster.unprovenJobs.add(job)
                if (job.failuresByMachine.keys.count { it.failureRecord.attributedFailures == 0 } >=
                    PlacementConstants.SUSPECT_JOB_MACHINES
                ) {
                    return markSuspect(job, nowMs)
                }
            }
        }
        if (m.failureRecord.failures >= PlacementConstants.QUARANTINE_FAILURES && nowMs >= m.failureRecord.quarantinedUntilMs) setAside(m, nowMs)
    }

    /** A machine that fails what it is given would, being empty, draw ever more tasks. One job alone is as likely at fault. */
    private fun setAside(
        m: Machine,
        nowMs: Long,
    ) {
        val record = m.failureRecord
        val sure = record.attributedFailures > 0 || record.suspectJobs >= 2
        val whose = "${record.attributedFailures} attributed to it, the rest to ${record.suspectJobs} unproven jobs"
        log("${m.id} fails ${record.failures} tasks in a row, $whose: quarantined${if (sure) "" else " for a moment"}")
        record.quarantineUntil(nowMs + if (sure) PlacementConstants.QUARANTINE_MS else PlacementConstants.SHORT_QUARANTINE_MS)
    }

    private fun markSuspect(
        job: Job,
        nowMs: Long,
    ) {
        log("${job.id}: suspect, failed ${job.failures} times on ${job.failedOn.size} machines: probed with few tasks from now on")
        job.changeHealth(JobHealth.SUSPECT)
        job.notBeforeMs = nowMs + PlacementConstants.PROBE_BACKOFF_MS
        for ((m, times) in job.failuresByMachine) m.failureRecord.attributeToJob(job.id, times, nowMs)
        job.failuresByMachine.clear()
        // What has not begun would take slots and fetches only to fail. What runs may yet show that the job is sound.
        job.activeAttempts.filter { it.state < AttemptState.RUNNING }.forEach { cluster.stop(it, nowMs, "the job is suspect", quietly = true) }
    }

    /** The job can succeed, so the machines that failed it, and have not succeeded since, are to blame. */
    private fun clear(
        job: Job,
        nowMs: Long,
    ) {
        if (job.health == JobHealth.SUSPECT) log("${job.id}: healthy, it runs in full again")
        job.changeHealth(JobHealth.HEALTHY)
        cluster.unprovenJobs.remove(job)
        job.notBeforeMs = nowMs
        for ((m, times) in job.failuresByMachine) m.failureRecord.attributeToMachine(job.id, times)
        job.failuresByMachine.clear()
    }

    /** Looks whether tasks of jobs in doubt run for longer than what failed: then not the job is to blame. */
    fun look(nowMs: Long) {
        if (cluster.unprovenJobs.isEmpty()) return
        for (job in cluster.unprovenJobs.toList()) {
            val enough = maxOf(PlacementConstants.HEALTHY_RUN_MS, job.longestFailMs * FAIL_TIMES)
            if (job.activeAttempts.any { it.state == AttemptState.RUNNING && nowMs - it.changedAtMs > enough }) clear(job, nowMs)
        }
    }

    /** An earlier leader had come to doubt the job. */
    fun restore(
        job: Job,
        probes: Int,
    ) {
        if (job.health != JobHealth.UNKNOWN || job.doneTasks > 0) return
        job.changeHealth(JobHealth.SUSPECT)
        job.probes = probes
        cluster.unprovenJobs.add(job)
    }

    private companion object {
        /** Times that the pause between tries is doubled at the most. */
        const val MOST_DOUBLINGS = 5

        /** Times the longest that a task took to fail, after which one that still runs speaks for its job. */
        const val FAIL_TIMES = 3
    }
}
