package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** Detects that this controller is partitioned from the store or its peers, and decides which clients it must leave to other controllers. */
class Isolation(
    private val store: StoreConnectivity,
    private val peers: PeerFailureDetector,
) {
    /** Whether neither the store nor any peer is reachable, so that clients should use other controllers. */
    fun isCutOff(nowMs: Long): Boolean = store.unreachableForLong(nowMs) && !peers.isAnyReachable(nowMs)

    /** Whether the store has not served this controller for [PeerConstants.STORE_UNAVAILABLE_MS] although it serves a peer. */
    fun isRefusedAlone(nowMs: Long): Boolean = store.unservedForLong(nowMs) && peers.servedPeer(nowMs) != null

    /**
     * Whether a leader with [leaseLeftMs] of its lease left, negative after its end, must redirect workers. After its lease has ended
     * a leader continues to respond during an outage of the store, so that workers keep their leases. A leader that also reaches no peer
     * may be the only one partitioned, and would keep workers from its successor.
     */
    fun redirectsWorkers(
        leaseLeftMs: Long,
        nowMs: Long,
    ): Boolean = leaseLeftMs < -PeerConstants.ISOLATED_MS && store.unservedForLong(nowMs) && !peers.isAnyReachable(nowMs)
}
