package mintfield.core.ownership

/** The cause for which a controller transfers the leadership of a shard; [reason] is logged. */
sealed interface LeadershipTransfer {
    /** The cause in words, without a full stop. */
    val reason: String

    /** Operators have drained [controller], which leads the shard. */
    data class Drained(
        val controller: String,
    ) : LeadershipTransfer {
        override val reason get() = "$controller is drained"
    }

    /** The controller [home], the preferred leader of [shard], is up. */
    data class HomeIsUp(
        val home: String,
        val shard: String,
    ) : LeadershipTransfer {
        override val reason get() = "$home, the home of $shard, is up"
    }
}
