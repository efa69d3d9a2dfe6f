package mintfield.core.ownership

/** The liveness of peers, as known to a controller that decides which one should lead a shard. */
interface PeerLiveness {
    /** The names of all peers. */
    val names: Collection<String>

    /** Whether [peer] has sent a message recently, and reported that the store serves it. */
    fun isUpAndServed(peer: String): Boolean
}
