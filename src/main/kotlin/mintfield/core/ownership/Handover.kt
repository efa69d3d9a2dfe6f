package mintfield.core.ownership

import mintfield.core.ownership.Assignment.Offered
import mintfield.core.ownership.Assignment.Owned
import mintfield.core.ownership.Assignment.Releasing

/**
 * The state machine of a machine's assignment, a function for each change. Every change is one transaction, guarded by the revision of
 * the block that holds the assignment, so of two at once only one is carried out. What follows from a state follows from what the
 * state service says alone: whoever leads a share next goes on from there.
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
        shares: Shares,
        trace: String? = null,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            !shares.isKnown(target) -> refuse(Refusal.UNKNOWN_SHARE)
            !shares.isKnown(current.owner) -> refuse(Refusal.UNKNOWN_OWNER)
            current !is Owned -> refuse(Refusal.ALREADY_MOVING)
            current.owner == target -> refuse(Refusal.ALREADY_OWNED)
            !shares.isLive(target) -> refuse(Refusal.TARGET_NOT_LIVE)
            shares.spare(current.owner) <= 0 -> refuse(Refusal.BELOW_FLOOR)
            else -> Step.To(Releasing(current.owner, target, trace))
        }

    /** An operator or a controller takes the order back, at any time before the target has adopted the machine. */
    fun cancel(current: Assignment?): Step =
        when (current) {
            null -> refuse(Refusal.UNKNOWN_MACHINE)
            is Owned -> refuse(Refusal.NOT_MOVING)
            is Releasing, is Offered -> Step.To(Owned(current.owner))
        }

    /** The leader of [share], which has stopped acting for the machine, lets it go. */
    fun release(
        current: Assignment?,
        share: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Releasing -> refuse(Refusal.NOT_MOVING)
            current.owner != share -> refuse(Refusal.NOT_ITS_OWNER)
            else -> Step.To(Offered(share, current.target, current.trace), LeaderCondition.Leads(share))
        }

    /** The leader of [share] takes a machine that is offered to it. */
    fun adopt(
        current: Assignment?,
        share: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Offered -> refuse(Refusal.NOT_MOVING)
            current.target != share -> refuse(Refusal.NOT_ITS_TARGET)
            else -> Step.To(Owned(share), LeaderCondition.Leads(share))
        }

    /** The former owner takes back what it offered to a share that nobody leads. */
    fun takeBack(
        current: Assignment?,
        share: String,
        shares: Shares,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current !is Offered -> refuse(Refusal.NOT_MOVING)
            current.owner != share -> refuse(Refusal.NOT_ITS_OWNER)
            shares.isLive(current.target) -> refuse(Refusal.TARGET_LIVE)
            else -> Step.To(Owned(share), LeaderCondition.Leaderless(current.target))
        }

    /** The leader of [share] takes a machine that has no owner: it rented it, or nobody else did. */
    fun claim(
        current: Assignment?,
        share: String,
    ): Step = if (current == null) Step.To(Owned(share), LeaderCondition.Leads(share)) else refuse(Refusal.ALREADY_ASSIGNED)

    /** The cloud has confirmed to the leader of [share] that the machine is gone. */
    fun drop(
        current: Assignment?,
        share: String,
    ): Step =
        when {
            current == null -> refuse(Refusal.UNKNOWN_MACHINE)
            current is Offered || current.owner != share -> refuse(Refusal.NOT_ITS_OWNER)
            else -> Step.To(null, LeaderCondition.Leads(share))
        }

    private fun refuse(refusal: Refusal) = Step.Refused(refusal)
}
