package mintfield.core.ownership

import mintfield.core.constants.ShardingConstants

/**
 * A controller's replica of the assignments of all machines. The store holds the assignments in blocks chosen by the hash of the machine's
 * name, so that a change rewrites one small value and thousands of machines need few values. Blocks may be applied in any order; the
 * newest revision of each block is kept. Not thread-safe: used on the event loop only.
 */
class AssignmentTable {
    private class Entry(
        val assignment: Assignment,
        val sinceRevision: Long,
    )

    private val blockRevisions = LongArray(ShardingConstants.ASSIGNMENT_BLOCKS)
    private val unreadable = BooleanArray(ShardingConstants.ASSIGNMENT_BLOCKS)
    private val entries = HashMap<String, Entry>()
    private val currentMoves = LinkedHashMap<String, Assignment>()

    /** The store revision up to which all changes are applied; 0 until the table has been read. */
    var revision = 0L
        private set

    /** The assignments of the machines with a move in progress, by machine. */
    val moving: Map<String, Assignment> get() = currentMoves

    /** The machines that have an assignment. */
    val assigned: Set<String> get() = entries.keys

    /** The machines that [shard] owns, including those with a move ordered but not yet released. */
    fun machines(shard: String): List<String> = entries.filterValues { it.assignment.entitles(shard) }.keys.toList()

    /** The number of machines that [shard] owns, including those with a move ordered but not yet released. */
    fun count(shard: String): Int = entries.values.count { it.assignment.entitles(shard) }

    /** The revision of the block that holds the assignment of [machine]; 0 if there is no such block yet. */
    fun revisionOf(machine: String): Long = blockRevisions[blockOf(machine)]

    /** The replica's knowledge of the assignment of [machine]. */
    fun of(machine: String): KnownAssignment {
        if (revision == 0L || unreadable[blockOf(machine)]) return KnownAssignment.Unknown
        val entry = entries[machine] ?: return KnownAssignment.None
        return KnownAssignment.Assigned(entry.assignment, entry.sinceRevision)
    }

    /** The assignment of [machine]; null if it has none or its block cannot be decoded. */
    fun assignment(machine: String): Assignment? = (of(machine) as? KnownAssignment.Assigned)?.assignment

    /** Applies the content of block [number], unless the same or a newer revision was applied before. */
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
        currentMoves.keys.removeAll { blockOf(it) == number }
        found.filterTo(currentMoves) { it.value !is Assignment.Owned }
    }

    /** Records that all blocks have been applied as of the revision [upTo] or later. */
    fun caughtUp(upTo: Long) {
        revision = maxOf(revision, upTo)
    }

    /** The content of the block that holds the assignment of [machine]; null if the block cannot be decoded: it must not be overwritten. */
    fun blockContent(machine: String): Map<String, Assignment>? = mutableBlockContent(machine)

    /** The content of the block of [machine] with its assignment set to [next], or deleted if null; null if the block cannot be decoded. */
    fun blockWith(
        machine: String,
        next: Assignment?,
    ): Map<String, Assignment>? {
        val content = mutableBlockContent(machine) ?: return null
        if (next == null) content.remove(machine) else content[machine] = next
        return content
    }

    private fun mutableBlockContent(machine: String): LinkedHashMap<String, Assignment>? {
        val number = blockOf(machine)
        if (unreadable[number]) return null
        return entries.filterKeys { blockOf(it) == number }.mapValuesTo(LinkedHashMap()) { it.value.assignment }
    }

    /** The mapping of machines to blocks. */
    companion object {
        /** The number of the block that holds the assignment of [machine]. Java specifies the hash of a string, so all controllers agree. */
        fun blockOf(machine: String): Int = Math.floorMod(machine.hashCode(), ShardingConstants.ASSIGNMENT_BLOCKS)
    }
}
