package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.Settings

/**
 * Times that follow from how often workers report and how long their leases last. Sites differ by more than twice in
 * both, and a constant that fits one calls honest machines silent, or returns hanging ones too early, at another.
 */
class Timings(
    settings: Settings,
) {
    private val leaseMs = settings.leaseS * MS

    /** The longest that an honest worker takes from one heartbeat to the next. */
    private val longestHeartbeatGapMs = settings.heartbeatIntervalS * MS * WorkerConstants.HEARTBEAT_SPREAD

    /** Without a heartbeat for so long a machine gets no new tasks: longer than an honest interval with a heartbeat lost. */
    val heartbeatTimeoutMs = maxOf(WorkerConstants.MIN_HEARTBEAT_TIMEOUT_MS, (longestHeartbeatGapMs + WorkerConstants.HEARTBEAT_TIMEOUT_SLACK_MS).toLong())

    /** A worker heard directly within this time is told to come directly again; others may be relayed. */
    val relayAfterMs = maxOf(PeerConstants.MIN_DIRECT_ROUTE_FRESH_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /** After a failover tasks wait this long for machines that hold their image: until an honest one has reported. */
    val settleMs = maxOf(PlacementConstants.MIN_SETTLE_MS, (longestHeartbeatGapMs + PeerConstants.DIRECT_ROUTE_SLACK_MS).toLong())

    /** A machine that a replayed plan names and that has not reported is returned after this: its lease has ended, or it
     *  has had that long to find the leader. */
    val replayedReleaseMs = (leaseMs + FleetConstants.FIND_LEADER_MS).toLong()

    /** The same for a machine that the list does not have either. */
    val unlistedReleaseMs = maxOf(FleetConstants.UNLISTED_RELEASE_MS, (longestHeartbeatGapMs + FleetConstants.UNLISTED_RELEASE_SLACK_MS).toLong())

    /** Silence after which a machine is returned: most that hang come back within their lease or soon after it. */
    val unresponsiveReleaseMs = settings.operator.unresponsiveReleaseMs ?: (leaseMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS).toLong()

    /** Time between two times that an isolated leader sends the same worker away: a round of the controllers uses up
     *  a third to a half of its lease, and what it learns holds for a while. */
    val redirectIntervalMs = (leaseMs * PeerConstants.REDIRECT_INTERVAL_LEASES).toLong()

    /** Silence after which a worker's lease has certainly ended. */
    val leaseExpiryMs = (leaseMs * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)).toLong() + WorkerConstants.WORKER_LEASE_MARGIN_MS

    private companion object {
        const val MS = 1000.0
    }
}
