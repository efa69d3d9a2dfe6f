package mintfield.core.ownership

import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing

/**
 * The state machine of a machine's assignment, a function for each change. Every change is one transaction, guarded by the revision of
 * the block that holds the assignment, so of two at once only one is carried out. What follows from a state follows from what the
 * store says alone: whoever leads a share next goes on from there.
 *
 * ```
 * none --claim--> owned --order--> releasing --release--> offered --adopt--> owned by the target
 *                   ^------cancel-----/                      /
 *                   ^------cancel, take back----------------/
 * owned, releasing --drop--> none
 * ```
 */
object Handover {
    /** An operator, or the planner of any controller, orders a move to [target], which is followed by [trace] if that is given. */
    fun order(
        current: Assignment?,
        target: String,
        shards: Shards,
        trace: String? = null,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            !shards.isKnown(target) -> refuse(Refusal.UNKNOWN_SHARD)
            !shards.isKnown(current.owner) -> refuse(Refusal.UNKNOWN_OWNER)
            current !is Owned -> refuse(Refusal.ALREADY_MOVING)
            current.owner == target -> refuse(Refusal.ALREADY_OWNED)
            !shards.isLive(target) -> refuse(Refusal.TARGET_NOT_LIVE)
            shards.spare(current.owner) <= 0 -> refuse(Refusal.BELOW_FLOOR)
            else -> Step.To(Releasing(current.owner, target, trace))
        }

    /** An operator or a controller takes the order back, at any time before the target has adopted the machine. */
    fun cancel(current: Assignment?): Step =
        when (current) {
            null -> refuse(Refusal.UNKNOWN_MACHINE)
            is Owned -> refuse(Refusal.NOT_MOVING)
            is Releasing, is Offered -> Step.To(Owned(current.owner))
        }

    /** The leader of [shard], which has stopped acting for the machine, lets it go. */
    fun release(
        current: Assignment?,
        shard: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Releasing -> refuse(Refusal.NOT_MOVING)
            current.owner != shard -> refuse(Refusal.NOT_OWNER)
            else -> Step.To(Offered(shard, current.target, current.trace), LeaderCondition.Leads(shard))
        }

    /** The leader of [shard] takes a machine that is offered to it. */
    fun adopt(
        current: Assignment?,
        shard: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Offered -> refuse(Refusal.NOT_MOVING)
            current.target != shard -> refuse(Refusal.NOT_ITS_TARGET)
            else -> Step.To(Owned(shard), LeaderCondition.Leads(shard))
        }

    /** The former owner takes back what it offered to a share that nobody leads. */
    fun takeBack(
        current: Assignment?,
        shard: String,
        shards: Shards,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Offered -> refuse(Refusal.NOT_MOVING)
            current.owner != shard -> refuse(Refusal.NOT_OWNER)
            shards.isLive(current.target) -> refuse(Refusal.TARGET_LIVE)
            else -> Step.To(Owned(shard), LeaderCondition.Leaderless(current.target))
        }

    /** The leader of [shard] takes a machine that has no owner: it provisioned it, or nobody else did. */
    fun claim(
        current: Assignment?,
        shard: String,
    ): Step = if (current == null) Step.To(Owned(shard), LeaderCondition.Leads(shard)) else refuse(Refusal.ALREADY_ASSIGNED)

    /** The cloud has confirmed to the leader of [shard] that the machine is gone. */
    fun drop(
        current: Assignment?,
        shard: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current is Offered || current.owner != shard -> refuse(Refusal.NOT_OWNER)
            else -> Step.To(null, LeaderCondition.Leads(shard))
        }

    private fun refuse(refusal: Refusal) = Step.Refused(refusal)
}
