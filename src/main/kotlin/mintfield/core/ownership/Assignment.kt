package mintfield.core.ownership

/**
 * The entry of the assignment table that says which shard owns a machine. The leader of that shard acts for the machine while its lease
 * lasts. Each machine has at most one entry, in one block of the table, so it cannot have two owners.
 */
sealed interface Assignment {
    /** The shard that owns the machine, or owned it last. */
    val owner: String

    /** The trace context of the move that is under way; null if there is none or it is not traced. */
    val trace: String? get() = null

    /** The leader of [owner] acts for the machine. */
    data class Owned(
        override val owner: String,
    ) : Assignment

    /** A move to the shard [target] is ordered. The leader of [owner] still acts for the machine, but starts nothing new there. */
    data class Releasing(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment

    /** [owner] has released the machine and [target] has not adopted it yet: no leader acts for it. */
    data class Offered(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment
}

/** Whether the leader of [shard] may act for a machine with this assignment; false without an assignment. */
fun Assignment?.entitles(shard: String): Boolean =
    when (this) {
        is Assignment.Owned -> owner == shard
        is Assignment.Releasing -> owner == shard
        is Assignment.Offered, null -> false
    }
