package mintfield.core.ownership

/** The loads and weights of other shards, as known to a leader. */
interface ShardLoads {
    /** The load of [shard]; null if its leader has not reported it recently. */
    fun load(shard: String): ShardLoad?

    /** The weight of [shard] in the division of machines among shards that all have a deficit. */
    fun weight(shard: String): Double
}
