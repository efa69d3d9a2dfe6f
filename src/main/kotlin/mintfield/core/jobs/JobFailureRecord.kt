package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine

/**
 * Failures and health of one job, and the time of its next retry: a circuit breaker that probes a suspect job with few tasks, as in
 * the half-open state. [FailureAttribution] decides on state changes.
 */
class JobFailureRecord(
    private val job: Job,
) {
    private val machines = HashSet<String>()
    private val unattributed = HashMap<Machine, Int>()

    /** The health of the job, changed by [becomeSuspect], [becomeHealthy] and [restoreSuspect]. */
    var health = JobHealth.UNKNOWN
        private set

    /** Number of failures since the last success. */
    var failures = 0
        private set

    /** Number of failed probes since the job became suspect. */
    var probes = 0
        private set

    /** Longest observed run time of a failed task, in milliseconds. */
    var longestFailMs = 0L
        private set

    private var notBeforeMs = 0L

    /** Ids of the machines on which a task of the job has ever failed. */
    val failedOn: Set<String> get() = machines

    /** Number of failures by machine that are attributed neither to the machine nor to the job; empty unless the health is [JobHealth.UNKNOWN]. */
    val unattributedFailures: Map<Machine, Int> get() = unattributed

    /** The maximum number of planned tasks: few while the job has only failed. */
    private val concurrencyCap: Int
        get() =
            when {
                health == JobHealth.SUSPECT -> PlacementConstants.PROBE_TASKS
                health == JobHealth.UNKNOWN && failures >= PlacementConstants.CAUTIOUS_AFTER_FAILURES -> PlacementConstants.CAUTIOUS_TASKS
                else -> Int.MAX_VALUE
            }

    /** Records a success, which resets [failures]. */
    fun recordSuccess() {
        failures = 0
        limitStarts()
    }

    /** Records a failure on [machine], [ranMs] milliseconds after a heartbeat first showed the task running; delays the next start. */
    fun recordFailure(
        machine: Machine,
        ranMs: Long,
        nowMs: Long,
    ) {
        failures++
        machines.add(machine.id)
        longestFailMs = maxOf(longestFailMs, ranMs)
        notBeforeMs = nowMs + PlacementConstants.FAILURE_BACKOFF_MS
        limitStarts()
    }

    /** Counts a failure on [machine] of which the cause may be the job or the machine. */
    fun addUnattributed(machine: Machine) {
        unattributed.merge(machine, 1, Int::plus)
    }

    /** Clears [unattributedFailures], after the failures have been attributed. */
    fun clearUnattributed() = unattributed.clear()

    /** Records a failed probe, which doubles the interval until the next one, up to a maximum. */
    fun probeFailed(nowMs: Long) {
        val backoffMs = PlacementConstants.PROBE_BACKOFF_MS shl minOf(probes, MAX_BACKOFF_DOUBLINGS)
        probes++
        notBeforeMs = nowMs + minOf(backoffMs, PlacementConstants.MAX_PROBE_BACKOFF_MS)
        limitStarts()
    }

    /** Marks the job suspect and delays its first probe. */
    fun becomeSuspect(nowMs: Long) {
        notBeforeMs = nowMs + PlacementConstants.PROBE_BACKOFF_MS
        moveTo(JobHealth.SUSPECT)
    }

    /** Marks the job healthy and lifts its limits. */
    fun becomeHealthy(nowMs: Long) {
        notBeforeMs = nowMs
        moveTo(JobHealth.HEALTHY)
    }

    /** Restores the state of an earlier leader, for which the job was suspect after [probes] probes. */
    fun restoreSuspect(probes: Int) {
        moveTo(JobHealth.SUSPECT)
        this.probes = probes
    }

    /** Changes the health; all changes go through this function. */
    private fun moveTo(next: JobHealth) {
        check(next != JobHealth.UNKNOWN && health != next) { "${job.id}: health cannot change from $health to $next" }
        health = next
        probes = 0
        limitStarts()
    }

    private fun limitStarts() = job.limitStarts(notBeforeMs, concurrencyCap)

    private companion object {
        /** Maximum number of times that the interval between probes is doubled. */
        const val MAX_BACKOFF_DOUBLINGS = 5
    }
}
