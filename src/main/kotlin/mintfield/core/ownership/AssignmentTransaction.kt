package mintfield.core.ownership

/** A set of assignment changes, applied atomically. */
class AssignmentTransaction(
    val changes: List<AssignmentChange>,
    /** The term of the leader that submits the transaction. */
    val term: Long,
    /** The writes, keyed by block number. */
    val blocks: Map<Int, BlockWrite>,
) {
    /** Replaces a block by [content]. Precondition: the block is still at the revision [guardRevision]. */
    class BlockWrite(
        val guardRevision: Long,
        val content: Map<String, Assignment>,
    )

    /** The preconditions on leader keys. */
    val conditions: Set<LeaderCondition> get() = changes.mapNotNullTo(LinkedHashSet()) { it.condition }

    /** The machines that the transaction releases. */
    val releasedMachines: List<String> get() = changes.filter { it.kind == AssignmentChange.Kind.RELEASE }.map { it.machine }

    internal companion object {
        /** The transaction of the leader with [term] for the [required] changes, without those in undecodable blocks; null if none is left. */
        fun of(
            required: List<AssignmentChange>,
            table: AssignmentTable,
            term: Long,
        ): AssignmentTransaction? {
            val blocks = HashMap<Int, BlockWrite>()
            val changes = ArrayList<AssignmentChange>()
            for (change in required) {
                val number = AssignmentTable.blockOf(change.machine)
                val content = blocks[number]?.content ?: table.blockContent(change.machine) ?: continue
                val next = LinkedHashMap(content)
                if (change.next == null) next.remove(change.machine) else next[change.machine] = change.next
                blocks[number] = BlockWrite(table.revisionOf(change.machine), next)
                changes.add(change)
            }
            return if (changes.isEmpty()) null else AssignmentTransaction(changes, term, blocks)
        }
    }
}
