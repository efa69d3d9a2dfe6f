package mintfield.core.jobs

import mintfield.core.fleet.Machine

/** One try of a task on one machine. It occupies the machine from its planning until its release. */
class Attempt(
    val job: Job,
    /** Number of the task within its job, from 0. */
    val index: Int,
    /** Identifies the attempt among all attempts of the task; never reused. */
    val number: Long,
    val machine: Machine,
    /** The worker's incarnation for which the attempt was planned. The attempt ends when the incarnation ends. */
    val incarnation: Long,
) {
    var state = AttemptState.PLANNING
        private set

    /** Time of the last state change, in milliseconds of monotonic time. */
    var changedAtMs = 0L
        private set

    /** Whether any controller may have sent a start of this attempt. */
    var startSent = false

    /**
     * Whether its plan was replayed but may have been released by a record that an earlier version of the program deleted. Unless its
     * worker reports it, it is released as soon as its absence is proven.
     */
    var isUnconfirmed = false
        private set

    /** Sets [isUnconfirmed]. */
    fun markUnconfirmed() {
        isUnconfirmed = true
    }

    /**
     * Whether its plan permits a start: not if its job is cancelled or its plan unconfirmed, nor if a record of the job cannot be decoded,
     * which may state that the task was released or is planned elsewhere.
     */
    val mayStart: Boolean get() = !job.cancelled && !job.unreadable && !isUnconfirmed

    /** Whether the attempt still occupies its machine, that is, has not been released. */
    val isLive: Boolean get() = state != AttemptState.RELEASED

    /** Changes the state; all state changes go through this function. Throws [IllegalStateException] if the transition is not allowed. */
    fun moveTo(
        next: AttemptState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(next in allowedTransitions.getValue(state)) { "${job.spec.id}/$index: attempt cannot change from $state to $next" }
        job.progress.attemptStateChanged(state, next)
        machine.occupancy.stateChanged(state, next)
        state = next
        changedAtMs = nowMs
    }

    private companion object {
        /** The states that a heartbeat can put a planned attempt into. */
        val afterHeartbeat = setOf(AttemptState.PULLING, AttemptState.RUNNING, AttemptState.STOPPING, AttemptState.RELEASED)
        val allowedTransitions =
            mapOf(
                AttemptState.PLANNING to setOf(AttemptState.PLANNED, AttemptState.RELEASED, AttemptState.STOPPING),
                AttemptState.PLANNED to afterHeartbeat + AttemptState.STARTING,
                AttemptState.STARTING to afterHeartbeat,
                AttemptState.PULLING to afterHeartbeat,
                AttemptState.RUNNING to afterHeartbeat,
                AttemptState.STOPPING to setOf(AttemptState.RELEASED),
                AttemptState.RELEASED to emptySet(),
            )
    }
}
