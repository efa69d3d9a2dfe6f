package mintfield.core.ownership

/** What must hold of the leader key of [shard] for a change of an assignment to be applied. */
sealed interface LeaderCondition {
    /** The shard whose leader key is meant. */
    val shard: String

    /** The one that makes the change leads the shard, at the term that it knows. */
    data class Leads(
        override val shard: String,
    ) : LeaderCondition

    /** Nobody leads the shard. */
    data class Leaderless(
        override val shard: String,
    ) : LeaderCondition
}
