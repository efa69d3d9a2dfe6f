package mintfield.core.ownership

import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing
import mintfield.core.ownership.AssignmentTransition.Allowed
import mintfield.core.ownership.AssignmentTransition.Refused

/**
 * The state machine of a machine's assignment, with a function for each change. Each change is one transaction, with the revision of the
 * block that holds the assignment as its precondition, so of two concurrent changes only one is applied. What follows from a state
 * depends only on what the store holds, so the next leader of a shard continues from there.
 *
 * ```
 * none --claim--> owned --order--> releasing --release--> offered --adopt--> owned by the target
 *                   ^------cancel-----/                      /
 *                   ^------cancel, take back----------------/
 * owned, releasing --drop--> none
 * ```
 */
object Handover {
    /** An operator, or the rebalancer of the owner, orders a move to [target]; [trace] is the context of its trace, if it is traced. */
    fun order(
        current: Assignment?,
        target: String,
        shards: Shards,
        trace: String? = null,
    ): AssignmentTransition =
        when {
            current == null -> Refused(AssignmentRefusal.UNKNOWN_MACHINE)
            !shards.isKnown(target) -> Refused(AssignmentRefusal.UNKNOWN_SHARD)
            !shards.isKnown(current.owner) -> Refused(AssignmentRefusal.UNKNOWN_OWNER)
            current !is Owned -> Refused(AssignmentRefusal.ALREADY_MOVING)
            current.owner == target -> Refused(AssignmentRefusal.ALREADY_OWNED)
            !shards.isLive(target) -> Refused(AssignmentRefusal.TARGET_NOT_LIVE)
            shards.spare(current.owner) <= 0 -> Refused(AssignmentRefusal.BELOW_FLOOR)
            else -> Allowed(Releasing(current.owner, target, trace))
        }

    /** An operator cancels a move, at any time before the target has adopted the machine. */
    fun cancel(current: Assignment?): AssignmentTransition =
        when (current) {
            null -> Refused(AssignmentRefusal.UNKNOWN_MACHINE)
            is Owned -> Refused(AssignmentRefusal.NOT_MOVING)
            is Releasing, is Offered -> Allowed(Owned(current.owner))
        }

    /** The leader of [shard], which has stopped acting for the machine, releases it. */
    fun release(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition =
        during<Releasing>(current) { move ->
            if (move.owner == shard) {
                Allowed(Offered(shard, move.target, move.trace), LeaderCondition.Leads(shard))
            } else {
                Refused(AssignmentRefusal.NOT_OWNER)
            }
        }

    /** The leader of [shard] adopts a machine that is offered to it. */
    fun adopt(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition =
        during<Offered>(current) { move ->
            if (move.target == shard) {
                Allowed(Owned(shard), LeaderCondition.Leads(shard))
            } else {
                Refused(AssignmentRefusal.NOT_ITS_TARGET)
            }
        }

    /** The leader of the former owner [shard] takes back a machine that it offered to a shard which nobody leads. */
    fun takeBack(
        current: Assignment?,
        shard: String,
        shards: Shards,
    ): AssignmentTransition =
        during<Offered>(current) { move ->
            when {
                move.owner != shard -> Refused(AssignmentRefusal.NOT_OWNER)
                shards.isLive(move.target) -> Refused(AssignmentRefusal.TARGET_LIVE)
                else -> Allowed(Owned(shard), LeaderCondition.Leaderless(move.target))
            }
        }

    /** The leader of [shard] claims a machine that has no owner. */
    fun claim(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition = if (current == null) Allowed(Owned(shard), LeaderCondition.Leads(shard)) else Refused(AssignmentRefusal.ALREADY_ASSIGNED)

    /** The cloud has confirmed to the leader of [shard] that the machine is gone: its assignment ends. */
    fun drop(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition =
        when {
            current == null -> Refused(AssignmentRefusal.UNKNOWN_MACHINE)
            current is Offered || current.owner != shard -> Refused(AssignmentRefusal.NOT_OWNER)
            else -> Allowed(next = null, LeaderCondition.Leads(shard))
        }

    /** The transition [from] a move that must be in the state [S]. */
    private inline fun <reified S : Assignment> during(
        current: Assignment?,
        from: (S) -> AssignmentTransition,
    ): AssignmentTransition =
        when (current) {
            null -> Refused(AssignmentRefusal.UNKNOWN_MACHINE)
            is S -> from(current)
            else -> Refused(AssignmentRefusal.NOT_MOVING)
        }
}
