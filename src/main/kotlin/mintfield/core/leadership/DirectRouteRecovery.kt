package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides which workers with relayed heartbeats are redirected to connect directly to this leader. A relayed worker depends on two
 * controllers, and when the leader stalls it detects this at each peer in turn.
 *
 * After a partition the heartbeats of a whole zone are relayed. One worker at a time probes the direct route, and the others follow when
 * a direct heartbeat arrives from the zone. A direct heartbeat proves the route for [directFreshMs] milliseconds.
 */
class DirectRouteRecovery(
    private val directFreshMs: Long,
) {
    private val directHeartbeatAtMs = HashMap<String, Long>()
    private val probedAtMs = HashMap<String, Long>()
    private val redirectedAtMs = HashMap<String, Long>()

    /** Records a direct heartbeat from a worker of [zone]. */
    fun directHeartbeat(
        zone: String,
        nowMs: Long,
    ) {
        directHeartbeatAtMs[zone] = nowMs
    }

    /** Whether to redirect [machine] of [zone], whose heartbeat was relayed, to connect directly. Returning true counts as a redirect. */
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
