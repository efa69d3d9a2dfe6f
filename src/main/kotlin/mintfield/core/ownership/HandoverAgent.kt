package mintfield.core.ownership

import mintfield.core.ScaleOutIntent
import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.AttemptState

/** A change of one machine's assignment that a leader wants. */
data class AssignmentChange(
    val kind: Kind,
    val machine: String,
    val next: Assignment?,
    val condition: LeaderCondition?,
) {
    enum class Kind { ORDER, RELEASE, ADOPT, TAKE_BACK, CLAIM, DROP }
}

/** Changes that are carried out whole or not at all. */
class AssignmentTransaction(
    val changes: List<AssignmentChange>,
    /** The term of the leader that makes them. */
    val term: Long,
    /** The content of each block once it is carried out, and the revision at which the block must be. */
    val blocks: Map<Int, BlockWrite>,
) {
    class BlockWrite(
        val guardRevision: Long,
        val content: Map<String, Assignment>,
    )

    val conditions: Set<LeaderCondition> get() = changes.mapNotNullTo(LinkedHashSet()) { it.condition }
}

/**
 * One leader's part in the moves of machines: says which assignments it wants to change, and brings what the table shows together with
 * what its scheduler works with. Everything follows from the table, so a new leader of the same share goes on where the last one was.
 */
class HandoverAgent(
    private val ownership: ShardOwnership,
    private val table: AssignmentTable,
    private val scheduler: Scheduler,
    private val shards: Shards,
    private val claimPolicy: ClaimPolicy,
    /** Which idle machines go to which share. */
    private val transfers: (Long) -> Map<String, String> = { emptyMap() },
    private val tracer: MoveTracer = MoveTracer.Off,
    private val log: (String) -> Unit,
) {
    private val shard = ownership.shard
    private val cluster = scheduler.cluster
    private val fleet = scheduler.fleet

    /** Releases without an answer: the term under which each was sent. Until a higher one is in force it may yet be carried out. */
    private val inDoubt = HashMap<String, Long>()
    private val offeredSinceMs = HashMap<String, Long>()
    private val intentByMachine = HashMap<String, ScaleOutIntent>()
    private val toDrop = LinkedHashSet<String>()
    private val times = MoveTimes(ownership.shard, tracer)

    init {
        fleet.onProvisioned = { intent, machines -> provisioned(intent, machines) }
        fleet.onReleased = { toDrop.add(it) }
    }

    /** The next transaction, or null if nothing is to be changed. */
    fun next(nowMs: Long): AssignmentTransaction? {
        if (!scheduler.loaded || table.revision == 0L) return null
        reconcile(nowMs)
        times.shown(table.moving, nowMs)
        times.observeTokens({ machine -> cluster.machines[machine]?.let(cluster::hasSeenOurToken) == true }, nowMs)
        val wanted = (moves(nowMs) + claims(nowMs) + drops() + transferred(nowMs)).take(ShardingConstants.MAX_ASSIGNMENT_CHANGES)
        val transaction = transaction(wanted) ?: return null
        transaction.changes.forEach { if (it.kind == AssignmentChange.Kind.RELEASE) ownership.letGo(it.machine) }
        return transaction
    }

    private fun transaction(wanted: List<AssignmentChange>): AssignmentTransaction? {
        val blocks = HashMap<Int, AssignmentTransaction.BlockWrite>()
        val taken = ArrayList<AssignmentChange>()
        for (change in wanted) {
            val number = AssignmentTable.blockOf(change.machine)
            val content = blocks[number]?.content ?: table.blockWith(change.machine, table.assignment(change.machine)) ?: continue
            val next = LinkedHashMap(content)
            if (change.next == null) next.remove(change.machine) else next[change.machine] = change.next
            blocks[number] = AssignmentTransaction.BlockWrite(table.revisionOf(change.machine), next)
            taken.add(change)
        }
        return if (taken.isEmpty()) null else AssignmentTransaction(taken, cluster.term, blocks)
    }

    // ---- what is wanted ----

    private fun moves(nowMs: Long): List<AssignmentChange> {
        offeredSinceMs.keys.retainAll(table.moving.keys)
        return table.moving.mapNotNull { (machine, assignment) ->
            when {
                assignment is Assignment.Releasing && assignment.owner == shard ->
                    if (mayLetGo(machine, nowMs)) change(AssignmentChange.Kind.RELEASE, machine, Handover.release(assignment, shard)) else null
                assignment is Assignment.Offered && assignment.target == shard ->
                    change(AssignmentChange.Kind.ADOPT, machine, Handover.adopt(assignment, shard))
                assignment is Assignment.Offered && assignment.owner == shard -> takenBack(machine, assignment, nowMs)
                else -> null
            }
        }
    }

    /** An offer to a share that nobody leads waits for an election, and is taken back if none comes. */
    private fun takenBack(
        machine: String,
        assignment: Assignment.Offered,
        nowMs: Long,
    ): AssignmentChange? {
        val since = offeredSinceMs.getOrPut(machine) { nowMs }
        if (nowMs - since < ShardingConstants.OFFER_TIMEOUT_MS) return null
        return change(AssignmentChange.Kind.TAKE_BACK, machine, Handover.takeBack(assignment, shard, shards))
    }

    private fun change(
        kind: AssignmentChange.Kind,
        machine: String,
        step: Step,
    ): AssignmentChange? = (step as? Step.To)?.let { AssignmentChange(kind, machine, it.next, it.condition) }

    /**
     * Whether nothing stands against letting [machine] go: no plan whose write is under way, no direct command without an answer yet, and
     * it is neither being returned nor given this leader's word that it is not answered. What was never sent is cancelled; a start that
     * was sent stays planned until the new owner tells of it.
     */
    private fun mayLetGo(
        machine: String,
        nowMs: Long,
    ): Boolean {
        // Of a machine that is gone nothing is left to hand over but its assignment, and that ends.
        if (ownership.isLettingGo(machine) || machine in toDrop) return false
        val m = cluster.machines[machine] ?: return true
        if (m.state == MachineState.RELEASING || m.state == MachineState.TERMINATING || scheduler.zoneFencing.isFenced(machine)) return false
        m.attempts.filter { it.state == AttemptState.PLANNED && !it.startSent }.forEach { cluster.stop(it, nowMs, "its machine is handed over") }
        return !m.directRoute.inFlight && m.count(AttemptState.PLANNING) == 0
    }

    private fun claims(nowMs: Long): List<AssignmentChange> {
        ownership.toClaim.removeAll { it in table.assigned }
        // Whoever provisioned a machine claims it itself; before the first claim of all nobody has provisioned any.
        val lagMs = if (table.assigned.isEmpty()) 0 else fleet.listLagMs()
        for ((machine, sinceMs) in fleet.ownerless) {
            val waitedMs = nowMs - sinceMs
            if (waitedMs >= lagMs && claimPolicy.takes(machine, waitedMs > lagMs + ShardingConstants.CLAIM_TIMEOUT_MS)) ownership.toClaim.add(machine)
        }
        return ownership.toClaim.mapNotNull { change(AssignmentChange.Kind.CLAIM, it, Handover.claim(table.assignment(it), shard)) }
    }

    private fun drops(): List<AssignmentChange> {
        toDrop.removeAll { !table.assignment(it).entitles(shard) }
        return toDrop.mapNotNull { change(AssignmentChange.Kind.DROP, it, Handover.drop(table.assignment(it), shard)) }
    }

    private fun transferred(nowMs: Long): List<AssignmentChange> =
        transfers(nowMs).mapNotNull { (machine, target) ->
            val order = Handover.order(table.assignment(machine), target, shards, tracer.ordered(machine, shard, target)) as? Step.To
            order?.let { AssignmentChange(AssignmentChange.Kind.ORDER, machine, it.next, LeaderCondition.Leads(shard)) }
        }

    private fun provisioned(
        intent: ScaleOutIntent,
        machines: List<String>,
    ): Boolean {
        val unclaimed = machines.filter { table.assignment(it) == null }
        unclaimed.forEach { intentByMachine[it] = intent }
        ownership.toClaim.addAll(unclaimed)
        return unclaimed.isEmpty()
    }

    // ---- what became of it ----

    /** [transaction] was carried out at [revision]. */
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
                AssignmentChange.Kind.CLAIM -> claimed(change.machine, nowMs)
                AssignmentChange.Kind.ORDER, AssignmentChange.Kind.TAKE_BACK, AssignmentChange.Kind.DROP -> {}
            }
        }
        reconcile(nowMs)
    }

    private fun released(
        machine: String,
        nowMs: Long,
    ) {
        ownership.letGoEnded(machine)
        times.released(machine, nowMs)
    }

    private fun adopted(
        machine: String,
        nowMs: Long,
    ) {
        fleet.registry.adopt(machine, nowMs)
        times.adopted(machine, nowMs)
    }

    private fun claimed(
        machine: String,
        nowMs: Long,
    ) {
        ownership.toClaim.remove(machine)
        fleet.ownerless.remove(machine)
        val intent = intentByMachine.remove(machine)
        fleet.registry.claimed(machine, intent, nowMs)
        if (intent != null && intent !in intentByMachine.values) fleet.completedIntents.add(intent.idempotencyKey)
    }

    /** [transaction] was certainly not carried out. */
    fun refused(transaction: AssignmentTransaction) {
        releases(transaction).forEach(ownership::letGoEnded)
    }

    /** There was no answer to [transaction]: it may have been carried out, or may yet be. The term must rise before that is known. */
    fun unanswered(transaction: AssignmentTransaction) {
        val released = releases(transaction)
        released.forEach { inDoubt[it] = transaction.term }
        if (released.isNotEmpty()) scheduler.fenceLateWrites()
    }

    private fun releases(transaction: AssignmentTransaction) = transaction.changes.filter { it.kind == AssignmentChange.Kind.RELEASE }.map { it.machine }

    /** Brings the scheduler's machines together with the table: others may have taken an order back, or a late release been carried out. */
    private fun reconcile(nowMs: Long) {
        val settled = inDoubt.filterValues { it < cluster.term && cluster.term <= table.revision }.keys
        settled.forEach(ownership::letGoEnded)
        inDoubt.keys.removeAll(settled)
        table.assigned.filter { it !in cluster.machines && ownership.owns(it) && it !in toDrop }.forEach { fleet.registry.assume(it, nowMs) }
        for (m in cluster.machines.values.toList()) {
            val owned = ownership.owns(m.id)
            if (m.state == MachineState.OWNED_ELSEWHERE && owned) fleet.registry.adopt(m.id, nowMs)
            if (leaves(m) && !owned && !ownership.isLettingGo(m.id)) fleet.handedOver(m.id, nowMs)
            if (m.state == MachineState.OWNED_ELSEWHERE && ownership.isGone(m.id)) gone(m, nowMs)
        }
    }

    private fun leaves(m: Machine) = m.state == MachineState.PROVISIONING || m.state == MachineState.UP || m.state == MachineState.UNRESPONSIVE

    /** Its last owner has recorded that the cloud took it back, with all that was on it. */
    private fun gone(
        m: Machine,
        nowMs: Long,
    ) {
        m.attempts.toList().forEach { cluster.release(it, nowMs, "its machine was released") }
        cluster.machines.remove(m.id)
    }
}
