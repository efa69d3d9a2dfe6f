package mintfield.io.store

/** The outcome of a compare-and-swap transaction that the store answered. */
sealed interface TxnOutcome {
    /** All writes were applied, at [revision]. */
    data class Applied(
        val revision: Long,
    ) : TxnOutcome

    /** Nothing was written: the preconditions on [keys] do not hold at [revision] of the store. */
    data class Failed(
        val keys: List<String>,
        val revision: Long,
    ) : TxnOutcome

    /** Nothing was written: a lease that a write names has expired. */
    data object LeaseGone : TxnOutcome

    /** Nothing was written, nor would be if it were repeated: the transaction exceeds a limit or is wrong. */
    data class Malformed(
        /** What the store said, for the log. */
        val reason: String,
    ) : TxnOutcome
}
