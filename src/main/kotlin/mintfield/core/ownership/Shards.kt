package mintfield.core.ownership

/** The state of the shards that decisions about moves depend on: configuration, leaders and number of machines above the floor. */
interface Shards {
    /** Whether [shard] is configured. */
    fun isKnown(shard: String): Boolean

    /** Whether [shard] has a leader, according to this controller's possibly outdated knowledge. */
    fun isLive(shard: String): Boolean

    /** The number of machines that [shard] can transfer without falling below its floor; negative if it is below its floor already. */
    fun spare(shard: String): Int
}

/** The shards of [settings], with machine counts from [table]; [hasLeader] returns whether a shard has a leader. */
class ConfiguredShards(
    private val settings: ShardingSettings,
    private val table: AssignmentTable,
    private val hasLeader: (String) -> Boolean,
) : Shards {
    override fun isKnown(shard: String) = settings.shard(shard) != null

    override fun isLive(shard: String) = hasLeader(shard)

    override fun spare(shard: String) = table.count(shard) - (settings.shard(shard)?.floor ?: 0)
}
