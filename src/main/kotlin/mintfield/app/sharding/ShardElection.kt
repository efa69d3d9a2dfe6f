package mintfield.app.sharding

import mintfield.core.ownership.ShardSettings

/** What the election of a shard's leader needs besides what that of an only leader does. */
class ShardElection(
    val shard: ShardSettings,
    val activation: ShardingActivation,
    /** Milliseconds to wait now before a campaign for the shard. */
    val campaignDelayMs: () -> Long,
    /** Called once for each term: makes what its leader needs for the shard. */
    val newLeadership: () -> ShardLeadership,
)
