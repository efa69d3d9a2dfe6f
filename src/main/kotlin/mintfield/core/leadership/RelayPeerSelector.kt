package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides whether workers send heartbeats directly to this leader or through a relay peer.
 *
 * A worker tries the controllers in ring order and waits for its timeout at each unresponsive one. If the leader stalls or is partitioned
 * from its workers while the next controller is unreachable too, the workers' leases end before they reach a third controller. While the
 * controller after the leader is unreachable, workers are therefore redirected to a peer that is followed by a responsive controller, and
 * that peer relays their heartbeats.
 */
class RelayPeerSelector(
    members: Collection<String>,
    private val memberName: String,
) {
    /** The controllers in the order in which workers try them; the first follows the last. */
    private val ring = members.sorted()
    private val redirectedAtMs = HashMap<String, Long>()

    private fun successorOf(member: String): String = ring[(ring.indexOf(member) + 1) % ring.size]

    /** The peer that is to relay the heartbeats of workers, or null if workers are to connect to this leader directly. */
    fun relayPeer(
        isUnreachable: (String) -> Boolean,
        isReachable: (String) -> Boolean,
    ): String? {
        val next = successorOf(memberName)
        if (next == memberName || !isUnreachable(next)) return null
        return ring.firstOrNull { it != memberName && isReachable(it) && (successorOf(it) == memberName || !isUnreachable(successorOf(it))) }
    }

    /**
     * Whether to redirect [machine], which has sent a heartbeat directly, to the relay peer now. Returning true counts as a redirect. A
     * worker whose last heartbeat was relayed by the peer ([wasRelayed]) has lost its connection to the peer, and a worker that returns
     * within [PeerConstants.RELAY_REDIRECT_BACKOFF_MS] could not reach it. Neither is redirected.
     */
    fun shouldRedirect(
        machine: String,
        wasRelayed: Boolean,
        nowMs: Long,
    ): Boolean {
        val lastMs = redirectedAtMs[machine]
        if (wasRelayed || (lastMs != null && nowMs - lastMs < PeerConstants.RELAY_REDIRECT_BACKOFF_MS)) return false
        redirectedAtMs[machine] = nowMs
        return true
    }
}
