package mintfield.core.ownership

/** Records moves of machines as traces. A trace goes from controller to controller by its context in the machine's assignment. */
interface MoveTracer {
    /** A move from [owner] to [target] is about to be ordered; returns the context of its trace, or null if moves are not traced. */
    fun ordered(
        machine: String,
        owner: String,
        target: String,
    ): String?

    /** [step] of the move with the context [trace] has ended after [tookMs], at the leader of [shard]. */
    fun ended(
        step: MoveStep,
        machine: String,
        shard: String,
        trace: String,
        tookMs: Long,
    )

    /** Moves are not traced. */
    object Off : MoveTracer {
        override fun ordered(
            machine: String,
            owner: String,
            target: String,
        ): String? = null

        override fun ended(
            step: MoveStep,
            machine: String,
            shard: String,
            trace: String,
            tookMs: Long,
        ) = Unit
    }
}

/** The steps of a move after its order, each at one controller. */
enum class MoveStep(
    val label: String,
) {
    /** From the order, as the owner saw it, to the release. */
    RELEASE("release"),

    /** From the release, as the target saw it, to the adoption. */
    ADOPT("adopt"),

    /** From the adoption until the worker has seen the new owner's token. */
    FIRST_HEARTBEAT("first report"),
}

/** Times the steps of moves that the leader of [shard] takes part in. */
class MoveTimes(
    private val shard: String,
    private val tracer: MoveTracer,
) {
    private class Since(
        val trace: String,
        val atMs: Long,
    )

    private val inState = HashMap<String, Pair<Assignment, Since>>()
    private val unconfirmed = HashMap<String, Since>()

    /** The table shows [moving] now. */
    fun shown(
        moving: Map<String, Assignment>,
        nowMs: Long,
    ) {
        inState.keys.retainAll(moving.keys)
        for ((machine, assignment) in moving) {
            val trace = assignment.trace ?: continue
            if (inState[machine]?.first != assignment) inState[machine] = assignment to Since(trace, nowMs)
        }
    }

    /** The release of [machine] was carried out. */
    fun released(
        machine: String,
        nowMs: Long,
    ) {
        inState.remove(machine)?.let { ended(MoveStep.RELEASE, machine, it.second, nowMs) }
    }

    /** The adoption of [machine] was carried out. */
    fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        val since = inState.remove(machine)?.second ?: return
        ended(MoveStep.ADOPT, machine, since, nowMs)
        unconfirmed[machine] = Since(since.trace, nowMs)
    }

    /** Looks for adopted machines whose workers have seen the new token. */
    fun observeTokens(
        hasSeenToken: (String) -> Boolean,
        nowMs: Long,
    ) {
        val found = unconfirmed.filterKeys(hasSeenToken)
        unconfirmed.keys.removeAll(found.keys)
        for ((machine, since) in found) ended(MoveStep.FIRST_HEARTBEAT, machine, since, nowMs)
    }

    private fun ended(
        step: MoveStep,
        machine: String,
        since: Since,
        nowMs: Long,
    ) = tracer.ended(step, machine, shard, since.trace, nowMs - since.atMs)
}
