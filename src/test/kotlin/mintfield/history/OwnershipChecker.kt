package mintfield.history

import mintfield.core.ownership.Assignment

/**
 * Checks from the assignments written to the store and the tokens accepted by workers that no two shards acted for a machine at
 * the same time.
 */
class OwnershipChecker(
    assignments: List<AssignmentWritten>,
    terms: List<TermStarted>,
) {
    private val byMachine = assignments.groupBy { it.machine }.mapValues { (_, list) -> list.sortedBy { it.revision } }
    private val shardOfTerm = terms.associate { it.revision to it.shard }

    /** Returns all violations in the assignments and the [accepted] tokens. */
    fun check(accepted: List<AcceptedToken>): List<OwnershipViolation> =
        byMachine.keys.flatMap(::checkAssignments) + accepted.groupBy { it.machine }.flatMap { (machine, list) -> checkCommands(machine, list) }

    private fun checkAssignments(machine: String): List<OwnershipViolation> =
        byMachine.getValue(machine).zipWithNext().mapNotNull { (before, after) ->
            val from = before.assignment
            val to = after.assignment
            val changedOwnerUnoffered = from != null && to != null && to.owner != from.owner && !(from is Assignment.Offered && from.target == to.owner)
            if (changedOwnerUnoffered) OwnershipViolation(OwnershipAnomaly.TWO_OWNERS, machine, after.atNanos, "assignment $from was followed by $to") else null
        }

    private fun checkCommands(
        machine: String,
        accepted: List<AcceptedToken>,
    ): List<OwnershipViolation> {
        val found = ArrayList<OwnershipViolation>()
        var newestTenure = -1
        for (command in accepted.sortedBy { it.atNanos }) {
            val shard = issuer(machine, command.token)
            if (shard == null) {
                found.add(OwnershipViolation(OwnershipAnomaly.UNKNOWN_TOKEN, machine, command.atNanos, "token ${command.token}"))
                continue
            }
            val tenure = tenure(machine, shard, command.atNanos)
            if (tenure <
                newestTenure
            ) {
                found.add(OwnershipViolation(OwnershipAnomaly.FORMER_OWNER, machine, command.atNanos, "token ${command.token} of former owner $shard"))
            }
            newestTenure = maxOf(newestTenure, tenure)
        }
        return found
    }

    /**
     * The shard that issued [token]: the shard whose leader has this term, or else the owner of the machine when its assignment
     * block was written at this revision; null if there is neither.
     */
    private fun issuer(
        machine: String,
        token: Long,
    ): String? =
        shardOfTerm[token] ?: byMachine[machine]
            .orEmpty()
            .lastOrNull { it.revision <= token }
            ?.assignment
            ?.owner

    /** The number of the last period up to [atNanos] in which [shard] owned the machine, counted over all owners from 1; -1 if there is none. */
    private fun tenure(
        machine: String,
        shard: String,
        atNanos: Long,
    ): Int {
        var number = 0
        var last = -1
        var owner: String? = null
        for (write in byMachine[machine].orEmpty()) {
            if (write.atNanos > atNanos) break
            val assignment = write.assignment
            if (assignment is Assignment.Owned && assignment.owner != owner) {
                owner = assignment.owner
                number++
            }
            if (owner == shard) last = number
        }
        return last
    }
}
