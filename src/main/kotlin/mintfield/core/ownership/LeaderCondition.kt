package mintfield.core.ownership

/** A precondition of an assignment change on the leader key of [shard]. */
sealed interface LeaderCondition {
    /** The shard whose leader key is checked. */
    val shard: String

    /** The leader key of [shard] is held by the writer of the change, at the term of its transaction. */
    data class Leads(
        override val shard: String,
    ) : LeaderCondition

    /** The shard has no leader key. */
    data class Leaderless(
        override val shard: String,
    ) : LeaderCondition
}
