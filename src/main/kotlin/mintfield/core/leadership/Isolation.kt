package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** Whether this controller is partitioned from the store and its peers, and what it must leave to others then. */
class Isolation(
    private val store: StoreConnectivity,
    private val peers: PeerFailureDetector,
) {
    /** Whether neither the store nor any peer can be reached: clients are better served elsewhere. */
    fun isCutOff(nowMs: Long): Boolean = store.unreachableForLong(nowMs) && !peers.isAnyReachable(nowMs)

    /** Whether the store has refused this controller for a while although it serves a peer. */
    fun isRefusedAlone(nowMs: Long): Boolean = store.unservedForLong(nowMs) && peers.servedPeer(nowMs) != null

    /**
     * Whether a leader with [leaseLeftMs] of its lease left, negative after its end, must redirect workers. A leader past its lease
     * goes on responding during an outage of the store, so that workers keep their leases. One that reaches no peer either may be
     * partitioned alone: its responses would then hold workers that its successor needs.
     */
    fun redirectsWorkers(
        leaseLeftMs: Long,
        nowMs: Long,
    ): Boolean = leaseLeftMs < -PeerConstants.ISOLATED_MS && store.unservedForLong(nowMs) && !peers.isAnyReachable(nowMs)
}
