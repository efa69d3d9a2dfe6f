package mintfield.app.sharding

import mintfield.core.ownership.Assignment

/** The state shown by `machines show`: the shards, the machine moves in progress and the drained controllers. */
class OwnershipStatus(
    val shards: List<ShardSummary>,
    /** The assignments of machines with a move in progress, by machine. */
    val moves: Map<String, Assignment>,
    /** The names of the drained controllers. */
    val drained: Set<String>,
) {
    /** The names of the shards that [controller] leads. */
    fun shardsLedBy(controller: String): List<String> = shards.filter { it.leader == controller }.map { it.name }
}

/** One shard: the names of its leading controller, null if it has no leader, and of the machines that it owns. */
data class ShardSummary(
    val name: String,
    val leader: String?,
    val machines: List<String>,
)
