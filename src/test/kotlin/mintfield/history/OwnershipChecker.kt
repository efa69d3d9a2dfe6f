package mintfield.history

import mintfield.core.ownership.Assignment

/**
 * Checks that no two shards acted for a machine at the same time, from the assignments written to the store and the tokens that
 * the workers accepted.
 */
class OwnershipChecker(
    assignments: List<AssignmentWritten>,
    terms: List<TermBegun>,
) {
    private val byMachine = assignments.groupBy { it.machine }.mapValues { (_, list) -> list.sortedBy { it.revision } }
    private val shardOfTerm = terms.associate { it.revision to it.shard }

    /** All violations in the assignments and in the [accepted] tokens. */
    fun check(accepted: List<AcceptedToken>): List<OwnershipViolation> =
        byMachine.keys.flatMap(::transitions) + accepted.groupBy { it.machine }.flatMap { (machine, list) -> commands(machine, list) }

    private fun transitions(machine: String): List<OwnershipViolation> =
        byMachine.getValue(machine).zipWithNext().mapNotNull { (before, after) ->
            val from = before.assignment
            val to = after.assignment
            val changedOwnerUnoffered = from != null && to != null && to.owner != from.owner && !(from is Assignment.Offered && from.target == to.owner)
            if (changedOwnerUnoffered) OwnershipViolation(OwnershipAnomaly.TWO_OWNERS, machine, after.atNanos, "$from, then $to") else null
        }

    private fun commands(
        machine: String,
        accepted: List<AcceptedToken>,
    ): List<OwnershipViolation> {
        val found = ArrayList<OwnershipViolation>()
        var newestTenure = -1
        for (command in accepted.sortedBy { it.atNanos }) {
            val shard = issuer(machine, command.token)
            if (shard == null) {
                found.add(OwnershipViolation(OwnershipAnomaly.UNKNOWN_TOKEN, machine, command.atNanos, "${command.token}"))
                continue
            }
            val tenure = tenure(machine, shard, command.atNanos)
            if (tenure <
                newestTenure
            ) {
                found.add(OwnershipViolation(OwnershipAnomaly.FORMER_OWNER, machine, command.atNanos, "token ${command.token} of $shard"))
            }
            newestTenure = maxOf(newestTenure, tenure)
        }
        return found
    }

    /** Whose token it is: of the leader whose term it is, or of the shard that owned the machine when its block was written with it. */
    private fun issuer(
        machine: String,
        token: Long,
    ): String? =
        shardOfTerm[token] ?: byMachine[machine]
            .orEmpty()
            .lastOrNull { it.revision <= token }
            ?.assignment
            ?.owner

    /** The number of the last time, before [atNanos], that [shard] became the owner of the machine. */
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
