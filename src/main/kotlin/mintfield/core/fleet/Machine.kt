package mintfield.core.fleet

import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.Heartbeat
import mintfield.core.model.MachineType

/**
 * A provisioned machine as its leader knows it, with the attempts that occupy it. Each of its components owns one part of that state
 * and is changed through its own functions. Used on the leader's event loop only; times are steady milliseconds.
 */
class Machine(
    val id: String,
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** The stage of its life. */
    var state = MachineState.PROVISIONING
        private set

    /** When [state] last changed. */
    var stateSinceMs = 0L
        private set

    /** How the machine became known. */
    val origin = MachineOrigin()

    /** What its heartbeats have shown. */
    val heartbeats = HeartbeatRecord()

    /** The lease of its worker, and the terms that fence commands to it. */
    val lease = WorkerLease()

    /** Whether responses and commands reach it. */
    val reachability = Reachability()

    /** The route of direct commands to it. */
    val directRoute = DirectRoute()

    /** What takes room on it. */
    val occupancy = Occupancy(type)

    /** The images on it. */
    val images = ImageCache(type)

    /** Failures of tasks on it, and the quarantine that follows from them. */
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

    /** Whether it is, or will most likely be, of use for a while. */
    val expectedToLast: Boolean
        get() =
            (state == MachineState.UP || state == MachineState.PROVISIONING) &&
                heartbeats.terminationAtMs == null &&
                reachability.state != ReachabilityState.UNREACHABLE

    /** Moves the machine to [next]; the only place where its state changes. Throws [IllegalStateException] if that move is not allowed. */
    fun moveTo(
        next: MachineState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(state.mayBecome(next)) { "$id: $state to $next" }
        state = next
        stateSinceMs = nowMs
    }

    /** Assigns room to [attempt]. */
    fun occupy(attempt: Attempt) {
        if (occupancy.add(attempt)) images.addTask(attempt.job.spec.image, attempt.job.spec.imageGb)
    }

    /** Frees the room of [attempt]. */
    fun vacate(attempt: Attempt) {
        if (occupancy.remove(attempt)) images.removeTask(attempt.job.spec.image)
    }

    /** Number of attempts here in [state]. */
    fun count(state: AttemptState): Int = occupancy.count(state)

    /** Whether a task may be planned here at [nowMs]: heartbeats must be newer than [freshMs], and nothing may speak against it. */
    fun acceptsTasks(
        nowMs: Long,
        freshMs: Long,
    ): Boolean =
        state == MachineState.UP &&
            heartbeats.terminationAtMs == null &&
            termSeen >= lease.requiredTerm &&
            reachability.isReachable &&
            !isHeldBack(nowMs) &&
            nowMs - heartbeats.lastUnpromptedAtMs < freshMs

    private fun isHeldBack(nowMs: Long) = nowMs < failureRecord.backoffUntilMs || nowMs < failureRecord.quarantinedUntilMs

    /** Constants of machines. */
    companion object {
        /** A moment before all others that leaves room for subtraction. */
        const val NEVER = Long.MIN_VALUE / 4
    }
}
