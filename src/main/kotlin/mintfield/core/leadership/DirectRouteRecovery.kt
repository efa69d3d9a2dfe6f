package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides which workers, whose heartbeats peers relay to this leader, are told to connect to the leader directly. A relayed worker depends
 * on two controllers, and when the leader stalls it finds that out at each peer in turn.
 *
 * After a partition the heartbeats of a whole zone come relayed. One worker at a time is sent to probe the direct route; the others
 * follow when a direct heartbeat of the zone arrives. [directFreshMs] is how long a direct heartbeat proves the route, in milliseconds.
 */
class DirectRouteRecovery(
    private val directFreshMs: Long,
) {
    private val directHeartbeatAtMs = HashMap<String, Long>()
    private val probedAtMs = HashMap<String, Long>()
    private val redirectedAtMs = HashMap<String, Long>()

    /** A worker of [zone] has sent a heartbeat here directly. */
    fun directHeartbeat(
        zone: String,
        nowMs: Long,
    ) {
        directHeartbeatAtMs[zone] = nowMs
    }

    /** Whether [machine] of [zone], whose heartbeat was relayed, is to connect directly from now on. True counts as a redirect of it. */
    fun shouldConnectDirectly(
        machine: String,
        zone: String,
        nowMs: Long,
    ): Boolean {
        if (isWithin(PeerConstants.REDIRECT_BACKOFF_MS, redirectedAtMs[machine], nowMs)) return false
        if (!isWithin(directFreshMs, directHeartbeatAtMs[zone], nowMs)) {
            if (isWithin(PeerConstants.DIRECT_ROUTE_PROBE_MS, probedAtMs[zone], nowMs)) return false
            probedAtMs[zone] = nowMs
        }
        redirectedAtMs[machine] = nowMs
        return true
    }

    private fun isWithin(
        periodMs: Long,
        sinceMs: Long?,
        nowMs: Long,
    ): Boolean = sinceMs != null && nowMs - sinceMs < periodMs
}
