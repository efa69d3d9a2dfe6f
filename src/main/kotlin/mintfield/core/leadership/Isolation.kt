package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** What a controller may not do because it is cut off, by what it hears of the store and its peers. */
class Isolation(
    private val store: StoreConnectivity,
    private val peers: PeerFailureDetector,
) {
    /** Cut off from the store, and no peer to be heard: whoever comes here had better go elsewhere. */
    fun isCutOff(nowMs: Long): Boolean = store.cut(nowMs) && !peers.isAnyReachable(nowMs)

    /** Whether the store has refused this controller for a while although it serves a peer. */
    fun isRefusedAlone(nowMs: Long): Boolean = store.unservedForLong(nowMs) && peers.served(nowMs) != null

    /**
     * Whether a leader with [leaseLeftMs] of its lease left must send workers away. One past its lease goes on answering in an outage, so
     * that the workers keep theirs. One that reaches neither the store nor a peer may be cut off alone: then its answers hold
     * workers that a successor waits for.
     */
    fun redirectsWorkers(
        leaseLeftMs: Long,
        nowMs: Long,
    ): Boolean = leaseLeftMs < -PeerConstants.ISOLATED_MS && store.unservedForLong(nowMs) && !peers.isAnyReachable(nowMs)
}
