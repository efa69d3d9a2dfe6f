package mintfield.history

import mintfield.core.ownership.Assignment

/** A worker accepted a command with [token]; with it tasks of [stopped] jobs were stopped. */
data class AcceptedToken(
    val machine: String,
    val token: Long,
    val atNanos: Long,
    val halted: List<String> = emptyList(),
)

/** The assignment of [machine] was written at [revision]. */
data class AssignmentWritten(
    val machine: String,
    val assignment: Assignment?,
    val revision: Long,
    val atNanos: Long,
)

/** The key of the leader of [shard] was written at [revision], which is its term. */
data class TermBegun(
    val shard: String,
    val revision: Long,
)

/** What a history of assignments and accepted commands must not show. */
enum class OwnershipAnomaly {
    /** A machine went from one owner to another without having been offered: both may have acted for it at one moment. */
    TWO_OWNERS,

    /** A token that no leader can have. */
    UNKNOWN_TOKEN,

    /** A command of a share that was accepted after one of a later owner. */
    FORMER_OWNER,
}

/** An anomaly, and the machine that shows it at a moment. */
data class OwnershipViolation(
    val anomaly: OwnershipAnomaly,
    val machine: String,
    val atNanos: Long,
    val what: String,
)

/** Judges who acted for machines, from what was written to the store and what the workers accepted. */
class OwnershipChecker(
    assignments: List<AssignmentWritten>,
    terms: List<TermBegun>,
) {
    private val byMachine = assignments.groupBy { it.machine }.mapValues { (_, list) -> list.sortedBy { it.revision } }
    private val shareOfTerm = terms.associate { it.revision to it.shard }

    fun check(accepted: List<AcceptedToken>): List<OwnershipViolation> =
        byMachine.keys.flatMap(::transitions) + accepted.groupBy { it.machine }.flatMap { (machine, list) -> commands(machine, list) }

    private fun transitions(machine: String): List<OwnershipViolation> =
        byMachine.getValue(machine).zipWithNext().mapNotNull { (before, after) ->
            val from = before.assignment
            val to = after.assignment
            val takenUnoffered = from != null && to != null && to.owner != from.owner && !(from is Assignment.Offered && from.target == to.owner)
            if (takenUnoffered) OwnershipViolation(OwnershipAnomaly.TWO_OWNERS, machine, after.atNanos, "$from, then $to") else null
        }

    private fun commands(
        machine: String,
        accepted: List<AcceptedToken>,
    ): List<OwnershipViolation> {
        val found = ArrayList<OwnershipViolation>()
        var newestTenure = -1
        for (one in accepted.sortedBy { it.atNanos }) {
            val shard = issuer(machine, one.token)
            if (shard == null) {
                found.add(OwnershipViolation(OwnershipAnomaly.UNKNOWN_TOKEN, machine, one.atNanos, "${one.token}"))
                continue
            }
            val tenure = tenure(machine, shard, one.atNanos)
            if (tenure < newestTenure) found.add(OwnershipViolation(OwnershipAnomaly.FORMER_OWNER, machine, one.atNanos, "token ${one.token} of $shard"))
            newestTenure = maxOf(newestTenure, tenure)
        }
        return found
    }

    /** Whose token it is: of the leader whose term it is, or of the share that owned the machine when its block was written with it. */
    private fun issuer(
        machine: String,
        token: Long,
    ): String? =
        shareOfTerm[token] ?: byMachine[machine]
            .orEmpty()
            .lastOrNull { it.revision <= token }
            ?.assignment
            ?.owner

    /** The number of the last time, before [atNanos], that the machine became [shard]'s. */
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

/** One move as the history shows it, in nanoseconds of steady time. */
data class Move(
    val machine: String,
    val from: String,
    val to: String,
    val orderedNanos: Long,
    val offeredNanos: Long,
    val adoptedNanos: Long,
    /** When the worker first accepted a command of the new owner; null if it never did. */
    val heardNanos: Long?,
)

/** The moves that came to their end, in the order of their adoption. */
fun movesOf(
    assignments: List<AssignmentWritten>,
    accepted: List<AcceptedToken>,
): List<Move> {
    val tokens = accepted.groupBy { it.machine }
    val moves = ArrayList<Move>()
    for ((machine, writes) in assignments.groupBy { it.machine }) {
        val ordered = writes.sortedBy { it.revision }
        for (i in 2 until ordered.size) {
            val adopted = ordered[i].assignment as? Assignment.Owned ?: continue
            val offer = ordered[i - 1].assignment as? Assignment.Offered ?: continue
            if (adopted.owner == offer.owner) continue
            val heard = tokens[machine].orEmpty().filter { it.token >= ordered[i].revision }.minOfOrNull { it.atNanos }
            moves.add(Move(machine, offer.owner, adopted.owner, ordered[i - 2].atNanos, ordered[i - 1].atNanos, ordered[i].atNanos, heard))
        }
    }
    return moves.sortedBy { it.adoptedNanos }
}
