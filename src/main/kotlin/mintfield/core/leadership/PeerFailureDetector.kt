package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Failure detector for peers, based on the status messages received from them. A peer counts as reachable for a short time after its last
 * message, and as unreachable only after a longer time without one. In between it is neither.
 *
 * All times are in milliseconds of this controller's monotonic clock; the controller started at [startedAtMs]. Not thread-safe.
 */
class PeerFailureDetector(
    private val startedAtMs: Long,
) {
    private class Contact(
        val storeServes: Boolean,
        val atMs: Long,
    )

    private val lastContact = HashMap<String, Contact>()
    private val refusedAtMs = HashMap<String, Long>()

    /** Records a status message from [peer]. [storeServes] states whether the store serves [peer]. */
    fun recordContact(
        peer: String,
        storeServes: Boolean,
        nowMs: Long,
    ) {
        lastContact[peer] = Contact(storeServes, nowMs)
    }

    /** Records that [peer] refused a connection. */
    fun refused(
        peer: String,
        nowMs: Long,
    ) {
        refusedAtMs[peer] = nowMs
    }

    private fun Contact.isFresh(nowMs: Long) = nowMs - atMs < PeerConstants.PEER_STATUS_TIMEOUT_MS

    /** Whether a message from [peer] arrived within [PeerConstants.PEER_STATUS_TIMEOUT_MS]. */
    fun isReachable(
        peer: String,
        nowMs: Long,
    ): Boolean = lastContact[peer]?.isFresh(nowMs) ?: false

    /** Whether a message from any peer arrived within [PeerConstants.PEER_STATUS_TIMEOUT_MS]. */
    fun isAnyReachable(nowMs: Long): Boolean = lastContact.values.any { it.isFresh(nowMs) }

    /** A reachable peer other than [leader], or null if there is none. */
    fun reachablePeerExcept(
        leader: String,
        nowMs: Long,
    ): String? = lastContact.entries.firstOrNull { it.key != leader && it.value.isFresh(nowMs) }?.key

    /** A reachable peer that the store serves, or null if there is none. */
    fun servedPeer(nowMs: Long): String? = lastContact.entries.firstOrNull { it.value.storeServes && it.value.isFresh(nowMs) }?.key

    /** Whether [peer] is reachable and the store serves it. */
    fun isServed(
        peer: String,
        nowMs: Long,
    ): Boolean = isReachable(peer, nowMs) && lastContact.getValue(peer).storeServes

    /**
     * Whether [peer] has sent no status message for longer than a restart takes, counted at the earliest from the start of this
     * controller. A peer that refused a connection recently is not unreachable, because workers detect the refusal at once.
     */
    fun isUnreachable(
        peer: String,
        nowMs: Long,
    ): Boolean {
        if (nowMs - (refusedAtMs[peer] ?: startedAtMs) < PeerConstants.PEER_STATUS_TIMEOUT_MS) return false
        return nowMs - (lastContact[peer]?.atMs ?: startedAtMs) > PeerConstants.PEER_UNREACHABLE_AFTER_MS
    }
}
