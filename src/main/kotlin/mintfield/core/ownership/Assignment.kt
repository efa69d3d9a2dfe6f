package mintfield.core.ownership

/**
 * Who may act for one machine. Machines are owned by shares; the leader of a share acts for it while its lease lasts. A machine has
 * exactly one assignment, in one block of the table, so it cannot have two owners.
 */
sealed interface Assignment {
    /** The share that owns the machine, or owned it last. */
    val owner: String

    /** The context of the trace of the move that is under way, if there is one and it is traced. */
    val trace: String? get() = null

    /** The owner's leader acts for the machine. */
    data class Owned(
        override val owner: String,
    ) : Assignment

    /** A move to [target] is ordered. The owner's leader still acts for the machine, but starts nothing new there. */
    data class Releasing(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment

    /** The owner has let the machine go, and [target] has not taken it: nobody acts for it. */
    data class Offered(
        override val owner: String,
        val target: String,
        override val trace: String? = null,
    ) : Assignment
}

/** Whether the leader of [shard] may act for a machine with this assignment. */
fun Assignment?.entitles(shard: String): Boolean =
    when (this) {
        is Assignment.Owned -> owner == shard
        is Assignment.Releasing -> owner == shard
        is Assignment.Offered, null -> false
    }

/** Why a change of an assignment is refused. */
enum class Refusal(
    val reason: String,
) {
    UNKNOWN_MACHINE("unknown machine"),
    UNREADABLE("its assignment cannot be read"),
    UNKNOWN_SHARD("unknown share"),
    UNKNOWN_OWNER("its owner is no share of the settings; it is left alone"),
    ALREADY_OWNED("the target owns it already"),
    ALREADY_MOVING("it is already moving"),
    ALREADY_ASSIGNED("it is assigned already"),
    NOT_MOVING("it is not moving"),
    NOT_OWNER("another share owns it"),
    NOT_ITS_TARGET("it is offered to another share"),
    TARGET_NOT_LIVE("the target has no leader"),
    TARGET_LIVE("the target has a leader"),
    BELOW_FLOOR("its owner would fall below its floor"),
}

/** What must be so of a share's leader key for a change to be carried out. */
sealed interface LeaderCondition {
    val shard: String

    /** The one who makes the change leads the share, at the term that it knows. */
    data class Leads(
        override val shard: String,
    ) : LeaderCondition

    /** Nobody leads it. */
    data class Leaderless(
        override val shard: String,
    ) : LeaderCondition
}

/** What becomes of a wish to change an assignment. */
sealed interface Step {
    /** It may become [next], or end if that is null, provided that it has not changed and that [condition] holds. */
    data class To(
        val next: Assignment?,
        val condition: LeaderCondition? = null,
    ) : Step

    data class Refused(
        val refusal: Refusal,
    ) : Step
}

/** The shares as they are configured and live. */
interface Shards {
    fun isKnown(shard: String): Boolean

    fun isLive(shard: String): Boolean

    /** Machines that [shard] may give away without falling below its floor. */
    fun spare(shard: String): Int
}
