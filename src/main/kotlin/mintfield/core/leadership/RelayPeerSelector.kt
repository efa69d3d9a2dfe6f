package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides at which controller workers report to a leader, directly or through a relay.
 *
 * A worker tries the controllers in a ring, and waits for its timeout at each that does not respond. If the leader stalls, or is partitioned
 * from its workers, while the controller after it is unreachable too, the workers' leases end before they reach a third one. So
 * while the controller after the leader is unreachable, workers report to a peer that is followed by a responsive one, and that peer relays their
 * heartbeats.
 */
class RelayPeerSelector(
    members: Collection<String>,
    private val memberName: String,
) {
    /** The controllers in the order in which workers try them. */
    private val ring = members.sorted()
    private val redirectedAtMs = HashMap<String, Long>()

    private fun after(member: String): String = ring[(ring.indexOf(member) + 1) % ring.size]

    /** The peer at which workers are to report, or null if they are to report here. */
    fun relayPeer(
        isUnreachable: (String) -> Boolean,
        isReachable: (String) -> Boolean,
    ): String? {
        val next = after(memberName)
        if (next == memberName || !isUnreachable(next)) return null
        return ring.firstOrNull { it != memberName && isReachable(it) && (after(it) == memberName || !isUnreachable(after(it))) }
    }

    /**
     * Whether [machine], which reports here, is to be redirected to the relay peer now. True counts as a redirect. A worker whose last heartbeat
     * was relayed by that peer ([wasRelayed]) has lost the peer, and one that is back soon has not reached it.
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
