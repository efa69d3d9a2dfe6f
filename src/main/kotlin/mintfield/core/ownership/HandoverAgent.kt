package mintfield.core.ownership

import mintfield.core.ScaleOutIntent
import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/**
 * A leader's part in machine moves: proposes transactions on the assignment table, and applies their outcome to the scheduler's machines.
 * The proposals follow from the assignment table, so a new leader of the same shard continues moves of its predecessor. After [next] has
 * returned a transaction, one of [applied], [refused] and [unanswered] must be called before [next] is called again. Not thread-safe: used
 * on the event loop only.
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

    /** Machines with an unanswered release, with the term under which it was sent. It may still be applied until a higher term is in force. */
    private val unansweredReleases = HashMap<String, Long>()

    init {
        fleet.onProvisioned = { intent: ScaleOutIntent, machines -> claims.provisioned(intent, machines) }
        fleet.onReleased = ownership::machineTerminated
    }

    /** The next transaction; null if no change is required. The leader stops acting for the machines that the transaction releases. */
    fun next(nowMs: Long): AssignmentTransaction? {
        if (!scheduler.isReplayComplete || table.revision == 0L) return null
        reconcile(nowMs)
        moveTimer.observeMoves(table.moving, nowMs)
        moveTimer.observeTokens({ machine -> cluster.machines[machine]?.let(cluster::hasSeenOurToken) == true }, nowMs)
        val required = planner.requiredChanges(nowMs).take(ShardingConstants.MAX_ASSIGNMENT_CHANGES)
        val transaction = AssignmentTransaction.of(required, table, cluster.term) ?: return null
        transaction.releasedMachines.forEach(ownership::releaseSent)
        return transaction
    }

    /** Records that [transaction] was applied at [revision]. */
    fun applied(
        transaction: AssignmentTransaction,
        revision: Long,
        nowMs: Long,
    ) {
        for ((number, write) in transaction.blocks) table.apply(number, AssignmentBlock(revision, write.content))
        for (change in transaction.changes) {
            log("machine ${change.machine}: ${change.kind.name.lowercase()} applied, assignment now ${change.next ?: "none"}")
            when (change.kind) {
                AssignmentChange.Kind.RELEASE -> released(change.machine, nowMs)
                AssignmentChange.Kind.ADOPT -> adopted(change.machine, nowMs)
                AssignmentChange.Kind.CLAIM -> claims.claimed(change.machine, nowMs)
                AssignmentChange.Kind.ORDER, AssignmentChange.Kind.TAKE_BACK, AssignmentChange.Kind.DROP -> {}
            }
        }
        reconcile(nowMs)
    }

    /** Records that [transaction] was not applied and cannot be applied later. */
    fun refused(transaction: AssignmentTransaction) {
        transaction.releasedMachines.forEach(ownership::releaseConfirmed)
    }

    /** Records that [transaction] is unanswered: it may have been applied, or may be later. If it releases machines, raises the term first. */
    fun unanswered(transaction: AssignmentTransaction) {
        val released = transaction.releasedMachines
        released.forEach { unansweredReleases[it] = transaction.term }
        if (released.isNotEmpty()) scheduler.fenceLateWrites()
    }

    private fun released(
        machine: String,
        nowMs: Long,
    ) {
        ownership.releaseConfirmed(machine)
        moveTimer.released(machine, nowMs)
    }

    private fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        fleet.registry.adopt(machine, nowMs)
        moveTimer.adopted(machine, nowMs)
    }

    /** Reconciles the scheduler's machines with the table, which other controllers and late releases change too. */
    private fun reconcile(nowMs: Long) {
        confirmUnansweredReleases()
        table.assigned
            .filter { it !in cluster.machines && ownership.owns(it) && it !in ownership.terminatedMachines }
            .forEach { fleet.registry.addProvisional(it, nowMs) }
        for (machine in cluster.machines.values.toList()) reconcile(machine, nowMs)
    }

    /** Confirms unanswered releases that can no longer be applied since the term has risen, once the table is as new as the current term. */
    private fun confirmUnansweredReleases() {
        val confirmed = unansweredReleases.filterValues { it < cluster.term && cluster.term <= table.revision }.keys
        confirmed.forEach(ownership::releaseConfirmed)
        unansweredReleases.keys.removeAll(confirmed)
    }

    private fun reconcile(
        machine: Machine,
        nowMs: Long,
    ) {
        val owned = ownership.owns(machine.id)
        if (machine.state == MachineState.OWNED_ELSEWHERE && owned) fleet.registry.adopt(machine.id, nowMs)
        if (canBeHandedOver(machine) && !owned && !ownership.isReleaseUnderWay(machine.id)) fleet.handedOver(machine.id, nowMs)
        if (machine.state == MachineState.OWNED_ELSEWHERE && ownership.isUnowned(machine.id)) removeTerminated(machine, nowMs)
    }

    private fun canBeHandedOver(machine: Machine) =
        machine.state == MachineState.PROVISIONING || machine.state == MachineState.UP || machine.state == MachineState.UNRESPONSIVE

    /** Removes [machine] and its attempts: its last owner deleted the assignment after the cloud confirmed the termination. */
    private fun removeTerminated(
        machine: Machine,
        nowMs: Long,
    ) {
        machine.attempts.toList().forEach { cluster.release(it, nowMs, "machine terminated by its last owner") }
        cluster.machines.remove(machine.id)
    }
}
