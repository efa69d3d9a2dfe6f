package mintfield.history

import mintfield.core.ownership.Assignment

/** A completed handover of a machine between shards; all times are in steady nanoseconds. */
data class Move(
    val machine: String,
    val from: String,
    val to: String,
    val orderedNanos: Long,
    val offeredNanos: Long,
    val adoptedNanos: Long,
    /** When the worker first accepted a command of the new owner; null if it accepted none. */
    val firstCommandNanos: Long?,
)

/** Returns the completed moves in the history of [assignments] and [accepted] commands, ordered by the time of adoption. */
fun completedMoves(
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
            val firstCommand = tokens[machine].orEmpty().filter { it.token >= ordered[i].revision }.minOfOrNull { it.atNanos }
            moves.add(Move(machine, offer.owner, adopted.owner, ordered[i - 2].atNanos, ordered[i - 1].atNanos, ordered[i].atNanos, firstCommand))
        }
    }
    return moves.sortedBy { it.adoptedNanos }
}
