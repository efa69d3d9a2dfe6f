package mintfield.core.ownership

/** Records machine moves as traces. The trace context is stored in the machine's assignment, so that each controller can add its spans. */
interface MoveTracer {
    /** Starts the trace of a move from [owner] to [target] that is about to be ordered. Returns the trace context; null if tracing is off. */
    fun ordered(
        machine: String,
        owner: String,
        target: String,
    ): String?

    /** Records that [step] of the move with the trace context [trace] took [tookMs] at the leader of [shard]. */
    fun ended(
        step: MoveStep,
        machine: String,
        shard: String,
        trace: String,
        tookMs: Long,
    )

    /** A tracer that records nothing. */
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
