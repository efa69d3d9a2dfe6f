package mintfield.core.ownership

/** What a leader knows of the load of other shards. */
interface ShardLoads {
    /** The load of [shard]; null if its leader has not reported it lately. */
    fun load(shard: String): ShardLoad?

    /** The weight of [shard], by which machines are divided among shards that all want more. */
    fun weight(shard: String): Double
}
