package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.AttemptState

/** Plans the assignment changes of a shard's leader from the assignment table and the state of the shard's machines. */
internal class AssignmentChangePlanner(
    private val ownership: ShardOwnership,
    private val table: AssignmentTable,
    private val scheduler: Scheduler,
    private val shards: Shards,
    private val claims: MachineClaims,
    private val transfers: TransferPolicy,
    private val tracer: MoveTracer,
) {
    private val shard = ownership.shard
    private val cluster = scheduler.cluster
    private val offeredSinceMs = HashMap<String, Long>()

    /** The changes required at [nowMs], most urgent first: next steps of moves in progress, claims, deletions, new moves. */
    fun requiredChanges(nowMs: Long): List<AssignmentChange> = moves(nowMs) + claims.requiredChanges(nowMs) + drops() + orders(nowMs)

    private fun moves(nowMs: Long): List<AssignmentChange> {
        offeredSinceMs.keys.retainAll(table.moving.keys)
        return table.moving.mapNotNull { (machine, assignment) -> nextStep(machine, assignment, nowMs) }
    }

    /** This shard's next step in the move of [machine]; null if the next step is another shard's or is not due yet. */
    private fun nextStep(
        machine: String,
        assignment: Assignment,
        nowMs: Long,
    ): AssignmentChange? =
        when {
            assignment is Assignment.Releasing && assignment.owner == shard ->
                if (readyToRelease(machine, nowMs)) Handover.release(assignment, shard).toChange(AssignmentChange.Kind.RELEASE, machine) else null
            assignment is Assignment.Offered && assignment.target == shard ->
                Handover.adopt(assignment, shard).toChange(AssignmentChange.Kind.ADOPT, machine)
            assignment is Assignment.Offered && assignment.owner == shard -> takeBack(machine, assignment, nowMs)
            else -> null
        }

    /** Takes back an [offer] to a shard without a leader, but only after the offer timeout, so that the shard can elect a leader first. */
    private fun takeBack(
        machine: String,
        offer: Assignment.Offered,
        nowMs: Long,
    ): AssignmentChange? {
        val since = offeredSinceMs.getOrPut(machine) { nowMs }
        if (nowMs - since < ShardingConstants.OFFER_TIMEOUT_MS) return null
        return Handover.takeBack(offer, shard, shards).toChange(AssignmentChange.Kind.TAKE_BACK, machine)
    }

    /**
     * Whether the machine may be released to the target of its move: no plan for it is being written, no direct call to it is
     * unanswered, and it is neither being released to the cloud nor fenced. The heartbeats of a machine in one of the last two states must
     * not be responded to. Cancels planned attempts whose start was never sent; an attempt whose start was sent stays planned until the new
     * owner reports its state.
     */
    private fun readyToRelease(
        machineId: String,
        nowMs: Long,
    ): Boolean {
        // A terminated machine is not handed over: its assignment is about to be deleted.
        if (ownership.isReleaseUnderWay(machineId) || machineId in ownership.terminatedMachines) return false
        val machine = cluster.machines[machineId] ?: return true
        val leavesFleet = machine.state == MachineState.RELEASING || machine.state == MachineState.TERMINATING
        if (leavesFleet || scheduler.zoneFencing.isFenced(machineId)) return false
        machine.attempts
            .filter { it.state == AttemptState.PLANNED && !it.startSent }
            .forEach { cluster.stop(it, nowMs, "machine handed over to another shard") }
        return !machine.directRoute.inFlight && machine.count(AttemptState.PLANNING) == 0
    }

    private fun drops(): List<AssignmentChange> {
        ownership.forgetDroppedMachines()
        return ownership.terminatedMachines.mapNotNull { machine ->
            Handover.drop(table.assignment(machine), shard).toChange(AssignmentChange.Kind.DROP, machine)
        }
    }

    private fun orders(nowMs: Long): List<AssignmentChange> =
        transfers.transfers(nowMs).mapNotNull { transfer ->
            val trace = tracer.ordered(transfer.machine, shard, transfer.target)
            val order = Handover.order(table.assignment(transfer.machine), transfer.target, shards, trace)
            // Operators may order a move without this condition; a rebalancer may only while its controller leads the shard.
            order.toChange(AssignmentChange.Kind.ORDER, transfer.machine)?.copy(condition = LeaderCondition.Leads(shard))
        }
}

/** The change of [machine] that makes the receiver's transition; null if the transition is refused. */
internal fun AssignmentTransition.toChange(
    kind: AssignmentChange.Kind,
    machine: String,
): AssignmentChange? =
    when (this) {
        is AssignmentTransition.Allowed -> AssignmentChange(kind, machine, next, condition)
        is AssignmentTransition.Refused -> null
    }
