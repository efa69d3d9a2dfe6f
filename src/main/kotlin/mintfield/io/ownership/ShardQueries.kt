package mintfield.io.ownership

import mintfield.core.ownership.ForeignTaskQuery

/** The queries of another leader to the leader of [shard]. */
data class ShardQueries(
    val shard: String,
    val queries: List<ForeignTaskQuery>,
)
