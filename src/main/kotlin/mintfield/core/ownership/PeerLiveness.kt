package mintfield.core.ownership

/** What a controller knows of its peers when it decides who should lead a shard. */
interface PeerLiveness {
    /** The names of all peers. */
    val names: Collection<String>

    /** Whether [peer] has been heard lately, and the store serves it. */
    fun isUpAndServed(peer: String): Boolean
}
