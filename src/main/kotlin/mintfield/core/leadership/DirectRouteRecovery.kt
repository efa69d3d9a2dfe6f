package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Brings workers whose heartbeats come through peers back to the leader itself: through a peer they depend on two
 * controllers, and when the leader stands still they find that out at each peer in turn. After a cut all workers of a zone
 * come so; one at a time is sent to try, and when one is heard directly the others follow.
 */
class DirectRouteRecovery(
    private val directFreshMs: Long,
) {
    private val directAtMs = HashMap<String, Long>()
    private val scoutAtMs = HashMap<String, Long>()
    private val sentAtMs = HashMap<String, Long>()

    /** A worker of [zone] has reported here directly. */
    fun directHeartbeat(
        zone: String,
        nowMs: Long,
    ) {
        directAtMs[zone] = nowMs
    }

    /** Whether [machine] of [zone], whose heartbeat was relayed, is to come here itself from now on. */
    fun shouldConnectDirectly(
        machine: String,
        zone: String,
        nowMs: Long,
    ): Boolean {
        if (within(sentAtMs[machine], nowMs, PeerConstants.REDIRECT_BACKOFF_MS)) return false
        if (!within(directAtMs[zone], nowMs, directFreshMs)) {
            if (within(scoutAtMs[zone], nowMs, PeerConstants.DIRECT_ROUTE_PROBE_MS)) return false
            scoutAtMs[zone] = nowMs
        }
        sentAtMs[machine] = nowMs
        return true
    }

    private fun within(
        atMs: Long?,
        nowMs: Long,
        ms: Long,
    ) = atMs != null && nowMs - atMs < ms
}

/**
 * Where a worker goes that comes to a controller which cannot reach the leader. The next one in its order may be that leader,
 * standing still, which costs it 4 s; so it is sent to a peer that is heard, once, and after that left to its own order,
 * as it may reach the leader itself.
 */
class PeerRedirects {
    private val sentAtMs = HashMap<String, Long>()

    fun offer(
        machine: String,
        peer: String?,
        nowMs: Long,
    ): String? {
        if (peer == null) return null
        val last = sentAtMs[machine]
        if (last != null && nowMs - last < PeerConstants.REDIRECT_BACKOFF_MS) return null
        sentAtMs[machine] = nowMs
        return peer
    }
}
