package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Where workers had better report while a controller is silent. A worker whose controller does not answer waits 4 s, and a
 * second more before it tries the next in its order. If that one is silent as well, a lease of 10 s has ended before the third
 * is reached: one controller down and the leader standing still, or cut off from its workers, then cost all that ran. So while
 * the controller after the leader is silent, workers report to a peer after which comes one that is heard, and that peer
 * relays their heartbeats.
 */
class RelayPeerSelector(
    members: Collection<String>,
    private val memberName: String,
) {
    private val ring = members.sorted()
    private val sentAtMs = HashMap<String, Long>()

    private fun after(member: String) = ring[(ring.indexOf(member) + 1) % ring.size]

    /** The peer at which workers are to report, if not here: one that is heard now, while the next one is [isUnreachable]. */
    fun place(
        isUnreachable: (String) -> Boolean,
        isReachable: (String) -> Boolean,
    ): String? {
        if (after(memberName) == memberName || !isUnreachable(after(memberName))) return null
        return ring.firstOrNull { it != memberName && isReachable(it) && (after(it) == memberName || !isUnreachable(after(it))) }
    }

    /**
     * Whether [machine], which reports here, is to be sent there now. One whose last heartbeat came from there ([wasRelayed])
     * has lost it, and one that is back soon has not got through.
     */
    fun send(
        machine: String,
        wasRelayed: Boolean,
        nowMs: Long,
    ): Boolean {
        val last = sentAtMs[machine]
        if (wasRelayed || (last != null && nowMs - last < PeerConstants.RELAY_REDIRECT_BACKOFF_MS)) return false
        sentAtMs[machine] = nowMs
        return true
    }
}
