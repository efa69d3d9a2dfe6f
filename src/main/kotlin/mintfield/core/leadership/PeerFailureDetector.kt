package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** When each peer was last heard, and whether the store served it then. */
class PeerFailureDetector(
    private val startedAtMs: Long,
) {
    private class Contact(
        val storeServes: Boolean,
        val atMs: Long,
    )

    private val recordContact = HashMap<String, Contact>()
    private val refusedAtMs = HashMap<String, Long>()

    /** A note of [peer] has come. */
    fun recordContact(
        peer: String,
        storeServes: Boolean,
        nowMs: Long,
    ) {
        recordContact[peer] = Contact(storeServes, nowMs)
    }

    /** [peer] refused a connection. */
    fun refused(
        peer: String,
        nowMs: Long,
    ) {
        refusedAtMs[peer] = nowMs
    }

    private fun Contact.isFresh(nowMs: Long) = nowMs - atMs < PeerConstants.PEER_STATUS_TIMEOUT_MS

    /** Whether [peer] has been heard lately. */
    fun isReachable(
        peer: String,
        nowMs: Long,
    ): Boolean = recordContact[peer]?.isFresh(nowMs) ?: false

    /** Whether any peer has been heard lately. */
    fun isAnyReachable(nowMs: Long): Boolean = recordContact.values.any { it.isFresh(nowMs) }

    /** A peer other than [leader] that has been heard lately. */
    fun reachablePeerExcept(
        leader: String,
        nowMs: Long,
    ): String? = recordContact.entries.firstOrNull { it.key != leader && it.value.isFresh(nowMs) }?.key

    /** A peer that has been heard lately and that the store serves. */
    fun served(nowMs: Long): String? = recordContact.entries.firstOrNull { it.value.storeServes && it.value.isFresh(nowMs) }?.key

    /** Whether [peer] has been heard lately, and the store serves it. */
    fun isServed(
        peer: String,
        nowMs: Long,
    ): Boolean = isReachable(peer, nowMs) && recordContact.getValue(peer).storeServes

    /**
     * Whether [peer] has been silent for longer than a restart takes; right after the start of this controller none is. One that
     * refuses connections is not silent: whoever tries it there is told at once.
     */
    fun isUnreachable(
        peer: String,
        nowMs: Long,
    ): Boolean {
        if (nowMs - (refusedAtMs[peer] ?: startedAtMs) < PeerConstants.PEER_STATUS_TIMEOUT_MS) return false
        return nowMs - (recordContact[peer]?.atMs ?: startedAtMs) > PeerConstants.PEER_UNREACHABLE_AFTER_MS
    }
}
