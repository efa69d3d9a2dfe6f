package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.AttemptState

/** Says which assignments the leader of a shard wants to change, from the assignment table and the state of its machines. */
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

    /** The changes that are wanted now, the most urgent first: moves under way, claims, ended assignments, new moves. */
    fun wantedChanges(nowMs: Long): List<AssignmentChange> = moves(nowMs) + claims.wantedChanges(nowMs) + drops() + orders(nowMs)

    private fun moves(nowMs: Long): List<AssignmentChange> {
        offeredSinceMs.keys.retainAll(table.moving.keys)
        return table.moving.mapNotNull { (machine, assignment) -> nextStep(machine, assignment, nowMs) }
    }

    /** This shard's next step in the move of [machine]; null if it is another's turn, or not time yet. */
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

    /** An offer to a shard that nobody leads waits for an election, and is taken back if there is none in time. */
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
     * Whether the machine may be released: no write of a plan for it is under way, no direct command to it lacks an answer, and it is
     * neither being released to the cloud nor fenced, since then it must not be answered. Plans that were never sent are cancelled on the
     * way; a start that was sent stays planned until the new owner reports what became of it.
     */
    private fun readyToRelease(
        machineId: String,
        nowMs: Long,
    ): Boolean {
        // Of a terminated machine nothing is left to hand over, and its assignment is about to end.
        if (ownership.isReleaseUnderWay(machineId) || machineId in ownership.terminatedMachines) return false
        val machine = cluster.machines[machineId] ?: return true
        val leavesFleet = machine.state == MachineState.RELEASING || machine.state == MachineState.TERMINATING
        if (leavesFleet || scheduler.zoneFencing.isFenced(machineId)) return false
        machine.attempts
            .filter { it.state == AttemptState.PLANNED && !it.startSent }
            .forEach { cluster.stop(it, nowMs, "its machine is handed over") }
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
            // Anybody may order a move, but the rebalancer of a shard only while its leader leads.
            order.toChange(AssignmentChange.Kind.ORDER, transfer.machine)?.copy(condition = LeaderCondition.Leads(shard))
        }
}

/** The change of [machine] by this transition; null if it is refused. */
internal fun AssignmentTransition.toChange(
    kind: AssignmentChange.Kind,
    machine: String,
): AssignmentChange? =
    when (this) {
        is AssignmentTransition.Allowed -> AssignmentChange(kind, machine, next, condition)
        is AssignmentTransition.Refused -> null
    }
