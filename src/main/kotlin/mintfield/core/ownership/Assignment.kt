package mintfield.core.ownership

/**
 * An entry of the assignment table: states which shard owns a machine. The leader of the owning shard acts for the machine while the
 * leader's lease lasts. Each machine has at most one entry, in one block of the table, so it cannot have two owners.
 */
sealed interface Assignment {
    /** The shard that owns the machine, or owned it last. */
    val owner: String

    /** The trace context of the move in progress; null if the machine is not moving or the move is not traced. */
    val trace: String? get() = null

    /** The machine belongs to [owner], whose leader acts for it. */
    data class Owned(
        override val owner: String,
    ) : Assignment

    /** A move to the shard [target] is ordered. The leader of [owner] still acts for the machine, but starts no new tasks on it. */
    data class Releasing(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment

    /** [owner] has released the machine and [target] has not adopted it yet: no leader acts for the machine. */
    data class Offered(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment
}

/** Whether the leader of [shard] may act for a machine with the receiver as its assignment; false for null. */
fun Assignment?.entitles(shard: String): Boolean =
    when (this) {
        is Assignment.Owned -> owner == shard
        is Assignment.Releasing -> owner == shard
        is Assignment.Offered, null -> false
    }
