package mintfield.app.sharding

import mintfield.core.ownership.ShardSettings

/** What a controller's part in the leadership of one share needs besides that in the only leadership. */
class ShardElection(
    val shard: ShardSettings,
    val activation: ShardingActivation,
    /** How long to wait now before standing for the share. */
    val campaignDelayMs: () -> Long,
    /** Makes what a new leader of the share needs. */
    val leader: () -> ShardLeader,
)
