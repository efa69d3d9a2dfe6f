package mintfield.io.ownership

import mintfield.core.ownership.ForeignTaskQuery

/** Queries about foreign tasks that another leader sends to the leader of [shard]. */
data class ShardQueries(
    val shard: String,
    val queries: List<ForeignTaskQuery>,
)
