package mintfield.core.ownership

import mintfield.core.ScaleOutIntent
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.FleetManager

/**
 * Claims unowned machines for a shard: those that its leader provisioned, and those in the cloud's list that [policy] assigns to the
 * shard. A scale-out intent is completed only when all machines provisioned for it are claimed, so that none is lost if the leader fails.
 */
internal class MachineClaims(
    private val ownership: ShardOwnership,
    private val table: AssignmentTable,
    private val fleet: FleetManager,
    private val policy: ClaimPolicy,
) {
    private val intentByMachine = HashMap<String, ScaleOutIntent>()

    /** Records that the cloud has provisioned [machines] for [intent]. Returns whether the intent is completed, that is, all have an owner. */
    fun provisioned(
        intent: ScaleOutIntent,
        machines: List<String>,
    ): Boolean {
        val unclaimed = machines.filter { table.assignment(it) == null }
        unclaimed.forEach { intentByMachine[it] = intent }
        ownership.addClaims(unclaimed)
        return unclaimed.isEmpty()
    }

    /** The claims to write at [nowMs]. */
    fun requiredChanges(nowMs: Long): List<AssignmentChange> {
        ownership.removeAssignedClaims()
        ownership.addClaims(dueUnownedMachines(nowMs))
        return ownership.pendingClaims.mapNotNull { machine ->
            Handover.claim(table.assignment(machine), ownership.shard).toChange(AssignmentChange.Kind.CLAIM, machine)
        }
    }

    private fun dueUnownedMachines(nowMs: Long): List<String> {
        // Waits until the provisioning leader can claim the machine. No wait while the table is empty: no leader has provisioned any yet.
        val lagMs = if (table.assigned.isEmpty()) 0 else fleet.maxListLagMs()
        return fleet.unowned
            .filter { (machine, sinceMs) ->
                val waitedMs = nowMs - sinceMs
                waitedMs >= lagMs && policy.shouldClaim(machine, abandoned = waitedMs > lagMs + ShardingConstants.CLAIM_TIMEOUT_MS)
            }.keys
            .toList()
    }

    /** Records that the claim to [machine] was applied. */
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
