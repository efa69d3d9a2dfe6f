package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.Settings

/**
 * Times derived from the workers' heartbeat interval and lease, in milliseconds. Both settings differ widely between sites: with fixed
 * times, healthy machines at some sites would count as unresponsive, or hanging ones would be released too early.
 */
class Timings(
    settings: Settings,
) {
    private val leaseMs = settings.leaseS * TimeUnits.MS_PER_SECOND

    /** The longest time between two heartbeats of a healthy worker. */
    private val longestHeartbeatGapMs = settings.heartbeatIntervalS * TimeUnits.MS_PER_SECOND * WorkerConstants.MAX_HEARTBEAT_INTERVAL_FACTOR

    /** Time without a heartbeat after which a machine gets no new tasks. It allows for the loss of one heartbeat of a healthy worker. */
    val heartbeatTimeoutMs = maxOf(WorkerConstants.MIN_HEARTBEAT_TIMEOUT_MS, (longestHeartbeatGapMs + WorkerConstants.HEARTBEAT_TIMEOUT_SLACK_MS).toLong())

    /** Time for which a direct heartbeat proves the direct route: a worker with a newer one keeps connecting directly, others may be relayed. */
    val relayAfterMs = maxOf(PeerConstants.MIN_DIRECT_ROUTE_FRESH_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /** Time after a failover during which tasks wait for machines with their image cached. Every healthy worker sends a heartbeat within it. */
    val failoverGraceMs = maxOf(PlacementConstants.MIN_FAILOVER_GRACE_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /**
     * Time after which a machine of a replayed plan is released if it has sent no heartbeat: its lease has expired, and it has had
     * enough time to find the leader.
     */
    val replayedReleaseMs = (leaseMs + FleetConstants.FIND_LEADER_MS).toLong()

    /** Time after which a machine without a heartbeat is released if it is also missing from the cloud's list. */
    val unlistedReleaseMs = maxOf(FleetConstants.UNLISTED_RELEASE_MS, (longestHeartbeatGapMs + FleetConstants.UNLISTED_RELEASE_SLACK_MS).toLong())

    /** Time without a heartbeat after which a machine is released. Most hanging machines recover within their lease or soon after it. */
    val unresponsiveReleaseMs = settings.operator.unresponsiveReleaseMs ?: (leaseMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS).toLong()

    /**
     * Minimum time between two redirects of the same worker by an isolated leader. A worker needs a third to a half of its lease to
     * try all controllers.
     */
    val redirectIntervalMs = (leaseMs * PeerConstants.REDIRECT_INTERVAL_LEASES).toLong()

    /** Time after the last response to a heartbeat by which the worker's lease has certainly expired, including clock drift and a margin. */
    val leaseExpiryMs = (leaseMs * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)).toLong() + WorkerConstants.WORKER_LEASE_MARGIN_MS
}
