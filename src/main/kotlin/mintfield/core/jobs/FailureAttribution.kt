package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.Tuning
import mintfield.core.fleet.Machine

/** What is believed of a job, by how its tasks end. */
enum class Belief {
    /** No task has succeeded or failed often enough to tell. */
    UNTRIED,

    /** A task is done, or has run for much longer than others took to fail: failures are their machines'. */
    SOUND,

    /** It fails wherever it is tried, as a job submitted with a mistake does: it is tried with few tasks, ever more slowly. */
    DOUBTED,
}

/**
 * Whether a failure is the job's or the machine's. The first failures of a job accuse both. Once a task of it succeeds, the
 * machines that failed it are blamed; once it has failed on several machines with no success anywhere, they are cleared.
 * Without that, two broken jobs on one rack condemned it, and a broken job of hundreds of tasks took that many slots and
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
        m.failures = 0
        m.blamed = 0
        m.suspects.clear()
        job.failures = 0
        if (job.belief != Belief.SOUND) clear(job, nowMs)
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
        job.notBeforeMs = nowMs + Tuning.FAILURE_PAUSE_MS
        when (job.belief) {
            Belief.SOUND -> {
                m.failures++
                m.blamed++
            }

            Belief.DOUBTED -> {
                job.notBeforeMs = nowMs + minOf(Tuning.TRIAL_PAUSE_MS shl minOf(job.trials++, MOST_DOUBLINGS), Tuning.TRIAL_PAUSE_MAX_MS)
                return
            }

            Belief.UNTRIED -> {
                m.failures++
                m.suspects.add(job.id)
                job.accused.merge(m, 1, Int::plus)
                cluster.troubled.add(job)
                if (job.accused.keys.count { it.blamed == 0 } >= Tuning.BAD_JOB_MACHINES) return doubt(job, nowMs)
            }
        }
        if (m.failures >= Tuning.SICK_FAILURES && nowMs >= m.setAsideUntilMs) setAside(m, nowMs)
    }

    /** A machine that fails what it is given would, being empty, draw ever more tasks. One job alone is as likely at fault. */
    private fun setAside(
        m: Machine,
        nowMs: Long,
    ) {
        val sure = m.blamed > 0 || m.suspects.size >= 2
        val whose = "${m.blamed} of jobs that succeed elsewhere, the rest of ${m.suspects.size} unproven ones"
        log("${m.id} fails ${m.failures} tasks in a row, $whose: set aside${if (sure) "" else " for a moment"}")
        m.setAsideUntilMs = nowMs + if (sure) Tuning.SICK_PAUSE_MS else Tuning.SUSPECT_PAUSE_MS
    }

    private fun doubt(
        job: Job,
        nowMs: Long,
    ) {
        log("${job.id} fails everywhere, ${job.failures} times on ${job.failedOn.size} machines: tried with few tasks from now on")
        job.believe(Belief.DOUBTED)
        job.notBeforeMs = nowMs + Tuning.TRIAL_PAUSE_MS
        for ((m, times) in job.accused) {
            if (!m.suspects.remove(job.id)) continue
            m.failures = maxOf(0, m.failures - times)
            if (m.suspects.isEmpty() && m.blamed == 0) m.setAsideUntilMs = nowMs
        }
        job.accused.clear()
        // What has not begun would take slots and fetches only to fail. What runs may yet show that the job is sound.
        job.activeAttempts.filter { it.state < AttemptState.RUNNING }.forEach { cluster.stop(it, nowMs, "the job fails everywhere", quietly = true) }
    }

    /** The job can succeed, so the machines that failed it, and have not succeeded since, are to blame. */
    private fun clear(
        job: Job,
        nowMs: Long,
    ) {
        if (job.belief == Belief.DOUBTED) log("${job.id} succeeds: it goes on in full")
        job.believe(Belief.SOUND)
        cluster.troubled.remove(job)
        job.notBeforeMs = nowMs
        for ((m, times) in job.accused) if (m.suspects.remove(job.id)) m.blamed += times
        job.accused.clear()
    }

    /** Looks whether tasks of jobs in doubt run for longer than what failed: then not the job is to blame. */
    fun look(nowMs: Long) {
        if (cluster.troubled.isEmpty()) return
        for (job in cluster.troubled.toList()) {
            val enough = maxOf(Tuning.SOUND_RUN_MS, job.longestFailMs * FAIL_TIMES)
            if (job.activeAttempts.any { it.state == AttemptState.RUNNING && nowMs - it.changedAtMs > enough }) clear(job, nowMs)
        }
    }

    /** An earlier leader had come to doubt the job. */
    fun recall(
        job: Job,
        trials: Int,
    ) {
        if (job.belief != Belief.UNTRIED || job.doneTasks > 0) return
        job.believe(Belief.DOUBTED)
        job.trials = trials
        cluster.troubled.add(job)
    }

    private companion object {
        /** Times that the pause between tries is doubled at the most. */
        const val MOST_DOUBLINGS = 5

        /** Times the longest that a task took to fail, after which one that still runs speaks for its job. */
        const val FAIL_TIMES = 3
    }
}
