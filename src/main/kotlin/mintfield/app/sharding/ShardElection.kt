package mintfield.app.sharding

import mintfield.core.ownership.ShardSettings

/** The parts of a leader election that exist only with sharding. */
class ShardElection(
    val shard: ShardSettings,
    val activation: ShardingActivation,
    /** Returns the milliseconds to wait before a campaign for the shard, given the current state of peers. */
    val campaignDelayMs: () -> Long,
    /** Creates the shard-related state of a new leader; called once in each term. */
    val newLeadership: () -> ShardLeadership,
)
