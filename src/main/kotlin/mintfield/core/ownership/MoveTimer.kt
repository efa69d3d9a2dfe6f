package mintfield.core.ownership

/** Times the steps of traced moves that the leader of [shard] takes part in, and passes them to [tracer]. Times are in milliseconds. */
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

    /** Adopted machines whose workers have not seen the new owner's token yet. */
    private val awaitingToken = HashMap<String, Started>()

    /** The assignment table shows the machines [moving], with their assignments. */
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

    /** The release of [machine] was applied. */
    fun released(
        machine: String,
        nowMs: Long,
    ) {
        observedMoves.remove(machine)?.let { ended(MoveStep.RELEASE, machine, it.since, nowMs) }
    }

    /** The adoption of [machine] was applied. */
    fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        val since = observedMoves.remove(machine)?.since ?: return
        ended(MoveStep.ADOPT, machine, since, nowMs)
        awaitingToken[machine] = Started(since.trace, nowMs)
    }

    /** Ends the last step of adopted machines whose workers have seen the new token, as [hasSeenToken] says. */
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
