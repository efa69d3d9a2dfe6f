package mintfield.app.sharding

import mintfield.core.ownership.Assignment

/** What operators are shown of the machines, their owners and the controllers that are drained. */
class OwnershipStatus(
    val shards: List<ShardSummary>,
    /** The machines that are moving, with their assignments. */
    val moves: Map<String, Assignment>,
    /** The controllers that are drained. */
    val drained: Set<String>,
) {
    /** The names of the shards that [controller] leads. */
    fun ledBy(controller: String): List<String> = shards.filter { it.leader == controller }.map { it.name }
}

/** A shard as operators see it: the controller that leads it, null if there is none, and its machines. */
data class ShardSummary(
    val name: String,
    val leader: String?,
    val machines: List<String>,
)
