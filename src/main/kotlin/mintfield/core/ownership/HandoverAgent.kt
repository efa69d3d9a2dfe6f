package mintfield.core.ownership

import mintfield.core.ScaleOutIntent
import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/**
 * One leader's part in the moves of machines: it says which transaction on the assignments the leader wants, and applies what became of
 * it to what the scheduler works with. All of it follows from the assignment table, so a new leader of the same shard continues where the
 * last one stopped. After [next] has returned a transaction, one of [applied], [refused] and [unanswered] must be called before [next] is
 * called again. To be used on the event loop only.
 */
class HandoverAgent(
    private val ownership: ShardOwnership,
    private val table: AssignmentTable,
    private val scheduler: Scheduler,
    shards: Shards,
    claimPolicy: ClaimPolicy,
    transfers: TransferPolicy = TransferPolicy { emptyList() },
    tracer: MoveTracer = MoveTracer.Off,
    private val log: (String) -> Unit,
) {
    private val cluster = scheduler.cluster
    private val fleet = scheduler.fleet
    private val claims = MachineClaims(ownership, table, fleet, claimPolicy)
    private val planner = AssignmentChangePlanner(ownership, table, scheduler, shards, claims, transfers, tracer)
    private val moveTimer = MoveTimer(ownership.shard, tracer)

    /** Machines whose release had no answer, with the term under which it was sent. Until a higher term is in force it may yet be applied. */
    private val releasesInDoubt = HashMap<String, Long>()

    init {
        fleet.onProvisioned = { intent: ScaleOutIntent, machines -> claims.provisioned(intent, machines) }
        fleet.onReleased = ownership::machineTerminated
    }

    /** The next transaction, or null if nothing is to be changed. The leader stops acting for the machines that it releases. */
    fun next(nowMs: Long): AssignmentTransaction? {
        if (!scheduler.loaded || table.revision == 0L) return null
        reconcile(nowMs)
        moveTimer.observeMoves(table.moving, nowMs)
        moveTimer.observeTokens({ machine -> cluster.machines[machine]?.let(cluster::hasSeenOurToken) == true }, nowMs)
        val wanted = planner.wantedChanges(nowMs).take(ShardingConstants.MAX_ASSIGNMENT_CHANGES)
        val transaction = AssignmentTransaction.of(wanted, table, cluster.term) ?: return null
        transaction.releasedMachines.forEach(ownership::releaseSent)
        return transaction
    }

    /** [transaction] was applied at [revision]. */
    fun applied(
        transaction: AssignmentTransaction,
        revision: Long,
        nowMs: Long,
    ) {
        for ((number, write) in transaction.blocks) table.apply(number, AssignmentBlock(revision, write.content))
        for (change in transaction.changes) {
            log("${change.machine}: ${change.kind.name.lowercase()}, now ${change.next ?: "without an owner"}")
            when (change.kind) {
                AssignmentChange.Kind.RELEASE -> released(change.machine, nowMs)
                AssignmentChange.Kind.ADOPT -> adopted(change.machine, nowMs)
                AssignmentChange.Kind.CLAIM -> claims.claimed(change.machine, nowMs)
                AssignmentChange.Kind.ORDER, AssignmentChange.Kind.TAKE_BACK, AssignmentChange.Kind.DROP -> {}
            }
        }
        reconcile(nowMs)
    }

    /** [transaction] was certainly not applied, and never will be. */
    fun refused(transaction: AssignmentTransaction) {
        transaction.releasedMachines.forEach(ownership::releaseSettled)
    }

    /** There was no answer to [transaction]: it may have been applied, or may yet be. If it releases machines, the term must rise first. */
    fun unanswered(transaction: AssignmentTransaction) {
        val released = transaction.releasedMachines
        released.forEach { releasesInDoubt[it] = transaction.term }
        if (released.isNotEmpty()) scheduler.fenceLateWrites()
    }

    private fun released(
        machine: String,
        nowMs: Long,
    ) {
        ownership.releaseSettled(machine)
        moveTimer.released(machine, nowMs)
    }

    private fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        fleet.registry.adopt(machine, nowMs)
        moveTimer.adopted(machine, nowMs)
    }

    /** Brings the scheduler's machines in line with the table, which others change too, and to which a late release may have been applied. */
    private fun reconcile(nowMs: Long) {
        settleReleasesInDoubt()
        table.assigned
            .filter { it !in cluster.machines && ownership.owns(it) && it !in ownership.terminatedMachines }
            .forEach { fleet.registry.addProvisional(it, nowMs) }
        for (machine in cluster.machines.values.toList()) reconcile(machine, nowMs)
    }

    /** A release is settled when a higher term voids it and the table shows the time of that term. */
    private fun settleReleasesInDoubt() {
        val settled = releasesInDoubt.filterValues { it < cluster.term && cluster.term <= table.revision }.keys
        settled.forEach(ownership::releaseSettled)
        releasesInDoubt.keys.removeAll(settled)
    }

    private fun reconcile(
        machine: Machine,
        nowMs: Long,
    ) {
        val owned = ownership.owns(machine.id)
        if (machine.state == MachineState.OWNED_ELSEWHERE && owned) fleet.registry.adopt(machine.id, nowMs)
        if (canBeHandedOver(machine) && !owned && !ownership.isReleaseUnderWay(machine.id)) fleet.handedOver(machine.id, nowMs)
        if (machine.state == MachineState.OWNED_ELSEWHERE && ownership.isGone(machine.id)) removeTerminated(machine, nowMs)
    }

    private fun canBeHandedOver(machine: Machine) =
        machine.state == MachineState.PROVISIONING || machine.state == MachineState.UP || machine.state == MachineState.UNRESPONSIVE

    /** The last owner of [machine] has recorded that the cloud terminated it, with all that was on it. */
    private fun removeTerminated(
        machine: Machine,
        nowMs: Long,
    ) {
        machine.attempts.toList().forEach { cluster.release(it, nowMs, "its machine was released") }
        cluster.machines.remove(machine.id)
    }
}
