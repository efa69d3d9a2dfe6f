package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.Settings

/**
 * Times that follow from the heartbeat interval and the lease of the workers, which differ widely between sites: a constant that suits
 * one would take healthy machines for unresponsive, or release hanging ones too early, at another. All are in milliseconds.
 */
class Timings(
    settings: Settings,
) {
    private val leaseMs = settings.leaseS * TimeUnits.MS_PER_SECOND

    /** The longest time between two heartbeats of a healthy worker. */
    private val longestHeartbeatGapMs = settings.heartbeatIntervalS * TimeUnits.MS_PER_SECOND * WorkerConstants.MAX_HEARTBEAT_INTERVAL_FACTOR

    /** Without a heartbeat for this long a machine gets no new tasks. It is longer than the interval of a healthy worker with a heartbeat lost. */
    val heartbeatTimeoutMs = maxOf(WorkerConstants.MIN_HEARTBEAT_TIMEOUT_MS, (longestHeartbeatGapMs + WorkerConstants.HEARTBEAT_TIMEOUT_SLACK_MS).toLong())

    /** A worker that sent a heartbeat directly within this time is told to do so again; others may be relayed. */
    val relayAfterMs = maxOf(PeerConstants.MIN_DIRECT_ROUTE_FRESH_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /** After a failover tasks wait this long for machines that hold their image: by then a healthy worker has sent a heartbeat. */
    val settleMs = maxOf(PlacementConstants.MIN_FAILOVER_GRACE_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /**
     * A machine of a replayed plan that has sent no heartbeat is released after this time: its lease has expired, and it has had the
     * time to find the leader.
     */
    val replayedReleaseMs = (leaseMs + FleetConstants.FIND_LEADER_MS).toLong()

    /** The same for a machine that is not in the cloud's list either. */
    val unlistedReleaseMs = maxOf(FleetConstants.UNLISTED_RELEASE_MS, (longestHeartbeatGapMs + FleetConstants.UNLISTED_RELEASE_SLACK_MS).toLong())

    /** Without a heartbeat for this long a machine is released: most that hang are back within their lease or soon after it. */
    val unresponsiveReleaseMs = settings.operator.unresponsiveReleaseMs ?: (leaseMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS).toLong()

    /**
     * The shortest time between two redirects of the same worker by an isolated leader: to try all controllers takes the worker a
     * third to a half of its lease.
     */
    val redirectIntervalMs = (leaseMs * PeerConstants.REDIRECT_INTERVAL_LEASES).toLong()

    /** Without an answered heartbeat for this long a worker's lease has certainly expired. */
    val leaseExpiryMs = (leaseMs * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)).toLong() + WorkerConstants.WORKER_LEASE_MARGIN_MS
}
