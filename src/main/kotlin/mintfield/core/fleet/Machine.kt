package mintfield.core.fleet

import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.Heartbeat
import mintfield.core.model.MachineType

/**
 * The leader's state of one machine, with the attempts that occupy it. Each component owns one part of the state and is changed through
 * its own functions. Used on the leader's event loop only; times are in milliseconds of monotonic time.
 */
class Machine(
    val id: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** Current stage of the life cycle; changed by [moveTo] only. */
    var state = MachineState.PROVISIONING
        private set

    /** Time of the last change of [state]. */
    var stateSinceMs = 0L
        private set

    /** How and when the machine became known to this leader. */
    val origin = MachineOrigin()

    /** State derived from the heartbeats of its worker. */
    val heartbeats = HeartbeatRecord()

    /** Lease of its worker, and the fencing terms of commands to it. */
    val lease = WorkerLease()

    /** Failure detector for the direction from the leader to the machine. */
    val reachability = Reachability()

    /** State of direct calls to its worker. */
    val directRoute = DirectRoute()

    /** Capacity that attempts and foreign tasks occupy. */
    val occupancy = Occupancy(type)

    /** Container images on the machine. */
    val images = ImageCache(type)

    /** Failures of tasks on the machine, and the resulting backoff and quarantine. */
    val failureRecord = FailureRecord()

    /** See [HeartbeatRecord.incarnation]. */
    val incarnation: Long get() = heartbeats.incarnation

    /** See [HeartbeatRecord.termSeen]. */
    val termSeen: Long get() = heartbeats.termSeen

    /** See [HeartbeatRecord.latest]. */
    val lastHeartbeat: Heartbeat? get() = heartbeats.latest

    /** See [HeartbeatRecord.lastContactAtMs]. */
    val lastContactAtMs: Long get() = heartbeats.lastContactAtMs

    /** See [MachineOrigin.provisional]. */
    val provisional: Boolean get() = origin.provisional

    /** See [Occupancy.attempts]. */
    val attempts: Set<Attempt> get() = occupancy.attempts

    /** See [Occupancy.foreignTasks]. */
    val foreignTasks: ForeignTasks get() = occupancy.foreignTasks

    /** See [Occupancy.freeCpus]. */
    val freeCpus: Double get() = occupancy.freeCpus

    /** See [Occupancy.freeGpus]. */
    val freeGpus: Double get() = occupancy.freeGpus

    /** See [Occupancy.freeMemoryGb]. */
    val freeMemoryGb: Double get() = occupancy.freeMemoryGb

    /** See [Occupancy.inUse]. */
    val inUse: Boolean get() = occupancy.inUse

    /** Whether the machine counts as capacity: up or booting, without termination notice and not unreachable. */
    val expectedToLast: Boolean
        get() =
            (state == MachineState.UP || state == MachineState.PROVISIONING) &&
                heartbeats.terminationAtMs == null &&
                reachability.state != ReachabilityState.UNREACHABLE

    /** Changes [state] to [next]. Throws [IllegalStateException] if the transition is not allowed. */
    fun moveTo(
        next: MachineState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(state.mayBecome(next)) { "machine $id: transition from $state to $next is not allowed" }
        state = next
        stateSinceMs = nowMs
    }

    /** Reserves capacity for [attempt]; does nothing if that is done already. */
    fun occupy(attempt: Attempt) {
        if (occupancy.add(attempt)) images.addTask(attempt.job.spec.image, attempt.job.spec.imageGb)
    }

    /** Frees the capacity of [attempt]; does nothing if it has none here. */
    fun vacate(attempt: Attempt) {
        if (occupancy.remove(attempt)) images.removeTask(attempt.job.spec.image)
    }

    /** Number of attempts here in [state]. */
    fun count(state: AttemptState): Int = occupancy.count(state)

    /** Whether tasks may be planned here at [nowMs]; among other things the last unprompted heartbeat must be less than [freshMs] old. */
    fun acceptsTasks(
        nowMs: Long,
        freshMs: Long,
    ): Boolean =
        state == MachineState.UP &&
            heartbeats.terminationAtMs == null &&
            termSeen >= lease.requiredTerm &&
            reachability.isReachable &&
            !isBackedOffOrQuarantined(nowMs) &&
            nowMs - heartbeats.lastUnpromptedAtMs < freshMs

    private fun isBackedOffOrQuarantined(nowMs: Long) = nowMs < failureRecord.backoffUntilMs || nowMs < failureRecord.quarantinedUntilMs

    /** Time constants of machines. */
    companion object {
        /** A time before all others; differences to it do not overflow. */
        const val NEVER = Long.MIN_VALUE / 4
    }
}
