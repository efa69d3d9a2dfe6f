package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * A failure detector for the peers, by the status messages that arrive from them. A peer counts as reachable for a short time after its last
 * message, and as unreachable only after a longer silence; in between it is neither.
 *
 * All times are in milliseconds of this controller's steady clock; the controller started at [startedAtMs]. Not thread-safe.
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

    /** A status message of [peer] has arrived. [storeServes]: the store serves that peer. */
    fun recordContact(
        peer: String,
        storeServes: Boolean,
        nowMs: Long,
    ) {
        lastContact[peer] = Contact(storeServes, nowMs)
    }

    /** [peer] refused a connection. */
    fun refused(
        peer: String,
        nowMs: Long,
    ) {
        refusedAtMs[peer] = nowMs
    }

    private fun Contact.isFresh(nowMs: Long) = nowMs - atMs < PeerConstants.PEER_STATUS_TIMEOUT_MS

    /** Whether a message of [peer] has arrived lately. */
    fun isReachable(
        peer: String,
        nowMs: Long,
    ): Boolean = lastContact[peer]?.isFresh(nowMs) ?: false

    /** Whether a message of any peer has arrived lately. */
    fun isAnyReachable(nowMs: Long): Boolean = lastContact.values.any { it.isFresh(nowMs) }

    /** A reachable peer other than [leader], or null. */
    fun reachablePeerExcept(
        leader: String,
        nowMs: Long,
    ): String? = lastContact.entries.firstOrNull { it.key != leader && it.value.isFresh(nowMs) }?.key

    /** A reachable peer that the store serves, or null. */
    fun servedPeer(nowMs: Long): String? = lastContact.entries.firstOrNull { it.value.storeServes && it.value.isFresh(nowMs) }?.key

    /** Whether [peer] is reachable and the store serves it. */
    fun isServed(
        peer: String,
        nowMs: Long,
    ): Boolean = isReachable(peer, nowMs) && lastContact.getValue(peer).storeServes

    /**
     * Whether [peer] has been silent for longer than a restart takes; right after the start of this controller no peer has. One that
     * refuses connections is not silent: a worker that tries it learns so at once.
     */
    fun isUnreachable(
        peer: String,
        nowMs: Long,
    ): Boolean {
        if (nowMs - (refusedAtMs[peer] ?: startedAtMs) < PeerConstants.PEER_STATUS_TIMEOUT_MS) return false
        return nowMs - (lastContact[peer]?.atMs ?: startedAtMs) > PeerConstants.PEER_UNREACHABLE_AFTER_MS
    }
}
