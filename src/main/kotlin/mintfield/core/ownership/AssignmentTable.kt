package mintfield.core.ownership

import mintfield.core.constants.ShardingConstants

/** One block of the table as the store holds it, at the revision [revision]; [assignments] is null if it cannot be read. */
class AssignmentBlock(
    val revision: Long,
    val assignments: Map<String, Assignment>?,
)

/** What is known of a machine's owner. */
sealed interface KnownAssignment {
    /** Its block says so, in a revision from which on the assignment is known to hold. */
    data class Assigned(
        val assignment: Assignment,
        val sinceRevision: Long,
    ) : KnownAssignment

    /** Its block says that it has none. */
    data object None : KnownAssignment

    /** Its block cannot be read or has not been: the machine is left alone. */
    data object Unknown : KnownAssignment
}

/**
 * A controller's replica of the assignments of all machines. They stand in blocks, chosen by the machine's name, so that a change rewrites
 * one small value and thousands of machines need few. Blocks may arrive in any order; the newest revision of each counts.
 */
class AssignmentTable {
    private class Entry(
        val assignment: Assignment,
        val sinceRevision: Long,
    )

    private val blockRevisions = LongArray(ShardingConstants.ASSIGNMENT_BLOCKS)
    private val unreadable = BooleanArray(ShardingConstants.ASSIGNMENT_BLOCKS)
    private val entries = HashMap<String, Entry>()

    /** All changes up to this revision are shown; 0 until the table has been read. */
    var revision = 0L
        private set

    private val movingNow = LinkedHashMap<String, Assignment>()

    /** The machines of which a move is under way. */
    val moving: Map<String, Assignment> get() = movingNow

    /** The machines that have an assignment. */
    val assigned: Set<String> get() = entries.keys

    /** The machines that [shard] owns, those that it is letting go included. */
    fun machines(shard: String): List<String> = entries.filterValues { it.assignment.entitles(shard) }.keys.toList()

    /** How many machines [shard] owns, those that it is letting go included. */
    fun count(shard: String): Int = entries.values.count { it.assignment.entitles(shard) }

    /** The revision of the block that holds the assignment of [machine]; 0 if there is none yet. */
    fun revisionOf(machine: String): Long = blockRevisions[blockOf(machine)]

    fun of(machine: String): KnownAssignment {
        if (revision == 0L || unreadable[blockOf(machine)]) return KnownAssignment.Unknown
        val entry = entries[machine] ?: return KnownAssignment.None
        return KnownAssignment.Assigned(entry.assignment, entry.sinceRevision)
    }

    /** The assignment of [machine], if it has one that can be read. */
    fun assignment(machine: String): Assignment? = (of(machine) as? KnownAssignment.Assigned)?.assignment

    /** Takes in what block [number] holds, unless something newer is known of it. */
    fun apply(
        number: Int,
        block: AssignmentBlock,
    ) {
        if (block.revision <= blockRevisions[number]) return
        blockRevisions[number] = block.revision
        unreadable[number] = block.assignments == null
        val found = block.assignments ?: return
        entries.keys.removeAll { blockOf(it) == number && it !in found }
        for ((machine, assignment) in found) {
            if (entries[machine]?.assignment != assignment) entries[machine] = Entry(assignment, block.revision)
        }
        movingNow.keys.removeAll { blockOf(it) == number }
        found.filterTo(movingNow) { it.value !is Assignment.Owned }
    }

    /** All blocks have been taken in as they were at [upTo] or later. */
    fun caughtUp(upTo: Long) {
        revision = maxOf(revision, upTo)
    }

    /** The content of the block of [machine] once its assignment is [next]; null if the block cannot be read, and so not be rewritten. */
    fun blockWith(
        machine: String,
        next: Assignment?,
    ): Map<String, Assignment>? {
        val number = blockOf(machine)
        if (unreadable[number]) return null
        val content = entries.filterKeys { blockOf(it) == number }.mapValuesTo(LinkedHashMap()) { it.value.assignment }
        if (next == null) content.remove(machine) else content[machine] = next
        return content
    }

    companion object {
        /** The block that holds the assignment of [machine]. The hash of a string is the same on every platform. */
        fun blockOf(machine: String): Int = Math.floorMod(machine.hashCode(), ShardingConstants.ASSIGNMENT_BLOCKS)
    }
}
