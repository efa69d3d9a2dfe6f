package mintfield.app.sharding

/** A condition that keeps [ShardingActivation] from letting shards be led; [reason] is logged. */
internal sealed interface ActivationObstacle {
    /** The reason, worded to follow a colon in a log line. */
    val reason: String

    /** The store did not respond, or did not apply the transaction that writes the marker. */
    data object StoreUnavailable : ActivationObstacle {
        override val reason get() = "the state service does not respond"
    }

    /** A controller that runs without sharding leads all machines. [controller] is null if the leader record names none. */
    data class LedWithoutSharding(
        val controller: String?,
    ) : ActivationObstacle {
        override val reason get() = "$controller leads all machines; its operators' file may lack the block sharing"
    }

    /** An earlier leader of all machines has left [records] of unfinished work under keys that start with [prefix]. */
    data class UnfinishedWork(
        val records: String,
        val prefix: String,
    ) : ActivationObstacle {
        override val reason get() = "$records of a leader without sharding remain under $prefix; run a controller without sharding until its jobs have ended"
    }
}
