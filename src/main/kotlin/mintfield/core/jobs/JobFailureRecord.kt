package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine

/**
 * The failures of one job, its health and when it may be tried again: a circuit breaker that probes a suspect job, half-open, with
 * few tasks. [FailureAttribution] decides on its changes.
 */
class JobFailureRecord(
    private val jobId: String,
) {
    private val machines = HashSet<String>()
    private val unattributed = HashMap<Machine, Int>()

    /** What is known of the job. */
    var health = JobHealth.UNKNOWN
        private set

    /** Failures since the last success. */
    var failures = 0
        private set

    /** Probes since the job became suspect. */
    var probes = 0
        private set

    /** The longest that a task was seen to run before it failed, in milliseconds. */
    var longestFailMs = 0L
        private set

    /** No task is planned before this moment, in steady milliseconds. */
    var notBeforeMs = 0L
        private set

    /** The machines that have ever failed a task of the job. */
    val failedOn: Set<String> get() = machines

    /** While the health is [JobHealth.UNKNOWN]: the machines that failed the job, and how often. */
    val unattributedFailures: Map<Machine, Int> get() = unattributed

    /** The most tasks that the job may have at once: few while it has only failed. */
    val concurrencyCap: Int
        get() =
            when {
                health == JobHealth.SUSPECT -> PlacementConstants.PROBE_TASKS
                health == JobHealth.UNKNOWN && failures >= PlacementConstants.CAUTIOUS_AFTER_FAILURES -> PlacementConstants.CAUTIOUS_TASKS
                else -> Int.MAX_VALUE
            }

    /** A task has succeeded. */
    fun recordSuccess() {
        failures = 0
    }

    /** A task has failed on [machine], [ranMs] after it was first seen to run. */
    fun recordFailure(
        machine: Machine,
        ranMs: Long,
        nowMs: Long,
    ) {
        failures++
        machines.add(machine.id)
        longestFailMs = maxOf(longestFailMs, ranMs)
        notBeforeMs = nowMs + PlacementConstants.FAILURE_BACKOFF_MS
    }

    /** The last failure may be the job's or that of [machine]. */
    fun addUnattributed(machine: Machine) {
        unattributed.merge(machine, 1, Int::plus)
    }

    /** The failures that were not attributed, which are forgotten here, have been. */
    fun clearUnattributed() = unattributed.clear()

    /** A probe has failed: the next is made later, at twice the interval. */
    fun probeFailed(nowMs: Long) {
        val backoffMs = PlacementConstants.PROBE_BACKOFF_MS shl minOf(probes, MAX_BACKOFF_DOUBLINGS)
        probes++
        notBeforeMs = nowMs + minOf(backoffMs, PlacementConstants.MAX_PROBE_BACKOFF_MS)
    }

    /** The job has become suspect. */
    fun becomeSuspect(nowMs: Long) {
        moveTo(JobHealth.SUSPECT)
        notBeforeMs = nowMs + PlacementConstants.PROBE_BACKOFF_MS
    }

    /** The job can succeed. */
    fun becomeHealthy(nowMs: Long) {
        moveTo(JobHealth.HEALTHY)
        notBeforeMs = nowMs
    }

    /** An earlier leader had found the job suspect and made [probes] probes. */
    fun restoreSuspect(probes: Int) {
        moveTo(JobHealth.SUSPECT)
        this.probes = probes
    }

    /** The only place where the health changes. */
    private fun moveTo(next: JobHealth) {
        check(next != JobHealth.UNKNOWN && health != next) { "$jobId: $health to $next" }
        health = next
        probes = 0
    }

    private companion object {
        /** Times that the interval between probes is doubled at the most. */
        const val MAX_BACKOFF_DOUBLINGS = 5
    }
}
