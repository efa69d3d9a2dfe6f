package mintfield.core.model

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.ownership.ShardingSettings

/** What operators may set for themselves, beyond what the platform hands over. */
data class OperatorSettings(
    val logFormat: LogFormat = LogFormat.PLAIN,
    val leaderLeaseMs: Long = LeadershipConstants.LEADER_LEASE_MS,
    val headroom: Double = FleetConstants.DEFAULT_HEADROOM,
    val idleReleaseMs: Long = FleetConstants.IDLE_RELEASE_MS,
    /** Null: what follows from the workers' lease. */
    val unresponsiveReleaseMs: Long? = null,
    /** Machines that the fleet is expected to grow to; null if that is not said. */
    val fleetMachines: Int? = null,
    /** How machines are shared; null if one leader owns all. */
    val sharding: ShardingSettings? = null,
    /** The file to which moves of machines are written as spans; null if they are not traced. */
    val traceFile: String? = null,
)

enum class LogFormat { PLAIN, JSON }
