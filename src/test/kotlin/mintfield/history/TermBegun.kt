package mintfield.history

/** The key of the leader of [shard] was written at [revision], which is its term. */
data class TermBegun(
    val shard: String,
    val revision: Long,
)
