package mintfield.core.model

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.ownership.ShardingSettings

/** Optional settings of the operators, in addition to those that the platform provides. */
data class OperatorSettings(
    val logFormat: LogFormat = LogFormat.PLAIN,
    /** Duration of the leader's lease in the store, in milliseconds. */
    val leaderLeaseMs: Long = LeadershipConstants.LEADER_LEASE_MS,
    /** Factor by which the fleet's capacity exceeds the expected demand, 1 or more. */
    val headroom: Double = FleetConstants.DEFAULT_HEADROOM,
    /** Milliseconds for which a machine may be idle before it is released. */
    val idleReleaseMs: Long = FleetConstants.IDLE_RELEASE_MS,
    /** Milliseconds without a heartbeat after which a machine is released; null to derive it from the workers' lease. */
    val unresponsiveReleaseMs: Long? = null,
    /** The number of machines that the fleet is expected to reach; null if unknown. */
    val fleetMachines: Int? = null,
    /** How machines are divided into shards; null if one leader owns all. */
    val sharding: ShardingSettings? = null,
    /** The file to which moves of machines between shards are written as trace spans; null if they are not traced. */
    val traceFile: String? = null,
)
