package mintfield.io.store

/** The outcome of a compare-and-swap transaction, from the response of the store. */
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

    /** Nothing was written: the lease that a write names has expired or does not exist. */
    data object LeaseNotFound : TxnOutcome

    /** Nothing was written, and the same transaction would fail again: it exceeds a limit or is malformed. */
    data class Malformed(
        /** The body of the response, for the log. */
        val reason: String,
    ) : TxnOutcome
}
