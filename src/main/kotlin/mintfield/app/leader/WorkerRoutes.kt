package mintfield.app.leader

import mintfield.core.Cluster
import mintfield.core.leadership.DirectRouteRecovery
import mintfield.core.model.Heartbeat
import mintfield.io.loop.EventLoop

/** Tracks whether workers' heartbeats reach this leader directly or relayed by a peer, and decides which workers should connect directly. */
class WorkerRoutes(
    private val loop: EventLoop,
    private val cluster: Cluster,
) {
    private val directRouteRecovery = DirectRouteRecovery(cluster.timings.relayAfterMs)

    /** Machines whose first heartbeat to this leader was relayed. */
    private val firstSeenRelayed = HashSet<String>()

    /** Whether this leader has received an earlier heartbeat of the worker. The first one should get a response, not a redirect. */
    fun hasSeenWorker(heartbeat: Heartbeat): Boolean = lastContactAtMs(heartbeat) > 0

    /** Whether the worker's last heartbeat was relayed by a peer. */
    fun wasRelayed(heartbeat: Heartbeat): Boolean = cluster.machines[heartbeat.machine]?.directRoute?.relayed ?: false

    /** Records that [heartbeat] came directly from its worker, which shows that the route from its zone works. */
    fun directHeartbeat(heartbeat: Heartbeat) = directRouteRecovery.directHeartbeat(heartbeat.zone, loop.nowMs())

    /**
     * Whether a worker whose [heartbeat] was relayed should connect to this leader directly: it may not have tried yet, or the route may
     * work again. The first heartbeat to this leader gets a response at once and only the next one a redirect, because after a failover
     * the worker may have spent most of its lease on controllers that did not respond.
     */
    fun shouldConnectDirectly(heartbeat: Heartbeat): Boolean {
        if (!hasSeenWorker(heartbeat)) {
            firstSeenRelayed.add(heartbeat.machine)
            return false
        }
        if (firstSeenRelayed.remove(heartbeat.machine)) return true
        return directRouteRecovery.shouldConnectDirectly(heartbeat.machine, heartbeat.zone, loop.nowMs())
    }

    private fun lastContactAtMs(heartbeat: Heartbeat): Long = cluster.machines[heartbeat.machine]?.lastContactAtMs ?: 0
}
