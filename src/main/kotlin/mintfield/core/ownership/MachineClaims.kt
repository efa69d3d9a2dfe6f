package mintfield.core.ownership

import mintfield.core.ScaleOutIntent
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.FleetManager

/**
 * Claims machines that have no owner for a shard: those that its leader provisioned, and those that were listed without an owner and fall
 * to the shard by [policy]. A scale-out intent is completed only when all machines that it provisioned are claimed, so that none is lost
 * with its leader.
 */
internal class MachineClaims(
    private val ownership: ShardOwnership,
    private val table: AssignmentTable,
    private val fleet: FleetManager,
    private val policy: ClaimPolicy,
) {
    private val intentByMachine = HashMap<String, ScaleOutIntent>()

    /** The cloud has provisioned [machines] for [intent]. Returns whether the intent is completed: all of them have an owner. */
    fun provisioned(
        intent: ScaleOutIntent,
        machines: List<String>,
    ): Boolean {
        val unclaimed = machines.filter { table.assignment(it) == null }
        unclaimed.forEach { intentByMachine[it] = intent }
        ownership.addClaims(unclaimed)
        return unclaimed.isEmpty()
    }

    /** The claims that are to be written now. */
    fun wantedChanges(nowMs: Long): List<AssignmentChange> {
        ownership.removeAssignedClaims()
        ownership.addClaims(ownerlessMachinesDue(nowMs))
        return ownership.pendingClaims.mapNotNull { machine ->
            Handover.claim(table.assignment(machine), ownership.shard).toChange(AssignmentChange.Kind.CLAIM, machine)
        }
    }

    private fun ownerlessMachinesDue(nowMs: Long): List<String> {
        // The leader that provisioned a machine claims it itself, so others wait; before the first claim of all, nobody has provisioned any.
        val lagMs = if (table.assigned.isEmpty()) 0 else fleet.maxListLagMs()
        return fleet.unowned
            .filter { (machine, sinceMs) ->
                val waitedMs = nowMs - sinceMs
                waitedMs >= lagMs && policy.takes(machine, abandoned = waitedMs > lagMs + ShardingConstants.CLAIM_TIMEOUT_MS)
            }.keys
            .toList()
    }

    /** The claim to [machine] was applied. */
    fun claimed(
        machine: String,
        nowMs: Long,
    ) {
        ownership.removeClaim(machine)
        fleet.unowned.remove(machine)
        val intent = intentByMachine.remove(machine)
        fleet.registry.claimed(machine, intent, nowMs)
        if (intent != null && intent !in intentByMachine.values) fleet.completedIntents.add(intent.idempotencyKey)
    }
}
