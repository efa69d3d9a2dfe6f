package mintfield.core.ownership

/** Records moves of machines as traces. A trace passes from controller to controller by its context in the machine's assignment. */
interface MoveTracer {
    /** A move from [owner] to [target] is about to be ordered. Returns the context of its trace; null if moves are not traced. */
    fun ordered(
        machine: String,
        owner: String,
        target: String,
    ): String?

    /** [step] of the move with the trace context [trace] has ended, after [tookMs] milliseconds, at the leader of [shard]. */
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
