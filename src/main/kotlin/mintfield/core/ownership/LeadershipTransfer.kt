package mintfield.core.ownership

/** Why a controller transfers the leadership of a shard that it leads; [reason] is logged. */
sealed interface LeadershipTransfer {
    /** The reason as a phrase. */
    val reason: String

    /** Operators have drained [controller], which leads the shard. */
    data class Drained(
        val controller: String,
    ) : LeadershipTransfer {
        override val reason get() = "$controller is drained"
    }

    /** The controller [home], which should lead [shard], is up. */
    data class HomeIsUp(
        val home: String,
        val shard: String,
    ) : LeadershipTransfer {
        override val reason get() = "$home is up, the home of $shard"
    }
}
