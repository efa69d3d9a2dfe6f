package mintfield.core.ownership

import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing
import mintfield.core.ownership.AssignmentTransition.Allowed
import mintfield.core.ownership.AssignmentTransition.Refused

/**
 * The state machine of a machine's assignment, with one function for each transition. A transition is written in a transaction whose
 * precondition is the revision of the block that holds the assignment, so of two concurrent transitions only one is applied. The
 * permitted transitions depend only on stored data, so the next leader of a shard can continue a move.
 *
 * ```
 * none --claim--> owned --order--> releasing --release--> offered --adopt--> owned by the target
 *                   ^------cancel-----/                      /
 *                   ^------cancel, take back----------------/
 * owned, releasing --drop--> none
 * ```
 */
object Handover {
    /** An operator, or the rebalancer of the owner, orders a move to [target]; [trace] is the trace context of the move, null if it is not traced. */
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

    /** An operator cancels a move. Permitted until the target has adopted the machine. */
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

    /** The leader of the former owner [shard] takes back a machine offered to a shard without a leader. */
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

    /** The leader of [shard] claims an unowned machine. */
    fun claim(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition = if (current == null) Allowed(Owned(shard), LeaderCondition.Leads(shard)) else Refused(AssignmentRefusal.ALREADY_ASSIGNED)

    /** The leader of [shard] deletes the assignment of a machine whose termination the cloud has confirmed. */
    fun drop(
        current: Assignment?,
        shard: String,
    ): AssignmentTransition =
        when {
            current == null -> Refused(AssignmentRefusal.UNKNOWN_MACHINE)
            current is Offered || current.owner != shard -> Refused(AssignmentRefusal.NOT_OWNER)
            else -> Allowed(next = null, LeaderCondition.Leads(shard))
        }

    /** The transition [from] the state [S]; refused if [current] is in another state. */
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
