package mintfield.app.sharding

/** Why no shard may be led yet; [reason] is logged. */
internal sealed interface ActivationObstacle {
    /** The reason as a phrase. */
    val reason: String

    /** The store does not answer. */
    data object StoreUnavailable : ActivationObstacle {
        override val reason get() = "the state service does not answer"
    }

    /** [controller] leads all machines; null if its record does not name it. */
    data class LedWithoutSharding(
        val controller: String?,
    ) : ActivationObstacle {
        override val reason get() = "$controller leads all machines; is it without the block sharing?"
    }

    /** The leader of all machines left [records] of unfinished work, under keys with [prefix]. */
    data class UnfinishedWork(
        val records: String,
        val prefix: String,
    ) : ActivationObstacle {
        override val reason get() = "there are $records of the time before ($prefix): let a controller without sharing finish its jobs"
    }
}
