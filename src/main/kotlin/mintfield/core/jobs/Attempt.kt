package mintfield.core.jobs

import mintfield.core.fleet.Machine

/** One try of a task on one machine. It occupies the machine from the plan until its release. */
class Attempt(
    val job: Job,
    /** Number of the task within its job, from 0. */
    val index: Int,
    /** Distinguishes the attempts of a task; never used twice. */
    val number: Long,
    val machine: Machine,
    /** The worker's incarnation in which the attempt was planned. It ends with that incarnation. */
    val incarnation: Long,
) {
    var state = AttemptState.PLANNING
        private set

    /** When the state last changed, in steady milliseconds. */
    var changedAtMs = 0L
        private set

    /** Whether a start of this attempt may ever have left any controller. */
    var startSent = false

    /** Whether it has not been released. */
    val live: Boolean get() = state != AttemptState.RELEASED

    /** The only place where an attempt changes its state. Throws [IllegalStateException] if that change is not allowed. */
    fun moveTo(
        next: AttemptState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(next in allowed.getValue(state)) { "${job.spec.id}/$index: $state to $next" }
        job.progress.attemptMoved(state, next)
        machine.occupancy.stateChanged(state, next)
        state = next
        changedAtMs = nowMs
    }

    private companion object {
        val afterHeartbeat = setOf(AttemptState.PULLING, AttemptState.RUNNING, AttemptState.STOPPING, AttemptState.RELEASED)
        val allowed =
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
