package mintfield.core.ownership

/** Measures the steps of traced moves that the leader of [shard] takes part in, and reports them to [tracer]. */
internal class MoveTimer(
    private val shard: String,
    private val tracer: MoveTracer,
) {
    private class Started(
        val trace: String,
        val atMs: Long,
    )

    private class ObservedMove(
        val assignment: Assignment,
        val since: Started,
    )

    private val observedMoves = HashMap<String, ObservedMove>()

    /** Adopted machines whose workers have not seen the new owner's fencing token yet, with the time of the adoption. */
    private val awaitingToken = HashMap<String, Started>()

    /** Observes the assignments of all [moving] machines in the assignment table; starts the timing of a step when an assignment changes. */
    fun observeMoves(
        moving: Map<String, Assignment>,
        nowMs: Long,
    ) {
        observedMoves.keys.retainAll(moving.keys)
        for ((machine, assignment) in moving) {
            val trace = assignment.trace ?: continue
            if (observedMoves[machine]?.assignment != assignment) observedMoves[machine] = ObservedMove(assignment, Started(trace, nowMs))
        }
    }

    /** Ends the release step of [machine]: its release was applied. */
    fun released(
        machine: String,
        nowMs: Long,
    ) {
        observedMoves.remove(machine)?.let { ended(MoveStep.RELEASE, machine, it.since, nowMs) }
    }

    /** Ends the adoption step of [machine], whose adoption was applied, and starts the timing of its first heartbeat. */
    fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        val since = observedMoves.remove(machine)?.since ?: return
        ended(MoveStep.ADOPT, machine, since, nowMs)
        awaitingToken[machine] = Started(since.trace, nowMs)
    }

    /** Ends the last step of each adopted machine whose worker has seen the new token, according to [hasSeenToken]. */
    fun observeTokens(
        hasSeenToken: (String) -> Boolean,
        nowMs: Long,
    ) {
        val seen = awaitingToken.filterKeys(hasSeenToken)
        awaitingToken.keys.removeAll(seen.keys)
        for ((machine, since) in seen) ended(MoveStep.FIRST_HEARTBEAT, machine, since, nowMs)
    }

    private fun ended(
        step: MoveStep,
        machine: String,
        since: Started,
        nowMs: Long,
    ) = tracer.ended(step, machine, shard, since.trace, nowMs - since.atMs)
}
