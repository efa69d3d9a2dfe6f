package mintfield.core.ownership

/** What a decision about a move must know of the shards: which are configured, which have a leader, and how many machines they can spare. */
interface Shards {
    /** Whether [shard] is configured. */
    fun isKnown(shard: String): Boolean

    /** Whether [shard] has a leader, as far as is known here. */
    fun isLive(shard: String): Boolean

    /** How many machines [shard] may give away without falling below its floor. */
    fun spare(shard: String): Int
}

/** The shards of [settings], with their machines as [table] shows them; [hasLeader] says whether a shard has a leader. */
class ConfiguredShards(
    private val settings: ShardingSettings,
    private val table: AssignmentTable,
    private val hasLeader: (String) -> Boolean,
) : Shards {
    override fun isKnown(shard: String) = settings.shard(shard) != null

    override fun isLive(shard: String) = hasLeader(shard)

    override fun spare(shard: String) = table.count(shard) - (settings.shard(shard)?.floor ?: 0)
}
