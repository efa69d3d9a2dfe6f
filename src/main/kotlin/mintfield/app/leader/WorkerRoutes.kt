package mintfield.app.leader

import mintfield.core.Cluster
import mintfield.core.leadership.DirectRouteRecovery
import mintfield.core.model.Heartbeat
import mintfield.io.loop.EventLoop

/** By which way heartbeats reach this leader: straight from the worker, or relayed by a peer. */
class WorkerRoutes(
    private val loop: EventLoop,
    private val cluster: Cluster,
) {
    private val directRouteRecovery = DirectRouteRecovery(cluster.timings.relayAfterMs)

    /** Machines whose first heartbeat to this leader was relayed. */
    private val firstSeenRelayed = HashSet<String>()

    /** Whether the worker has sent this leader a heartbeat before. One that has not should be answered before it is redirected. */
    fun hasHeardFrom(heartbeat: Heartbeat): Boolean = lastContactAtMs(heartbeat) > 0

    /** Whether the worker's last heartbeat was relayed by a peer. */
    fun wasRelayed(heartbeat: Heartbeat): Boolean = cluster.machines[heartbeat.machine]?.directRoute?.relayed ?: false

    /** A heartbeat has come straight from its worker: the route from its zone works. */
    fun directHeartbeat(heartbeat: Heartbeat) = directRouteRecovery.directHeartbeat(heartbeat.zone, loop.nowMs())

    /**
     * Whether a worker whose [heartbeat] was relayed should connect to this leader itself: it may never have tried, or can do so
     * again. The first heartbeat to this leader is answered at once and the next one redirected: after a failover the worker may
     * have used up most of its lease at controllers that did not answer.
     */
    fun shouldConnectDirectly(heartbeat: Heartbeat): Boolean {
        if (!hasHeardFrom(heartbeat)) {
            firstSeenRelayed.add(heartbeat.machine)
            return false
        }
        if (firstSeenRelayed.remove(heartbeat.machine)) return true
        return directRouteRecovery.shouldConnectDirectly(heartbeat.machine, heartbeat.zone, loop.nowMs())
    }

    private fun lastContactAtMs(heartbeat: Heartbeat): Long = cluster.machines[heartbeat.machine]?.lastContactAtMs ?: 0
}
