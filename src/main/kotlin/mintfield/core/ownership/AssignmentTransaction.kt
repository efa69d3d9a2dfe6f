package mintfield.core.ownership

/** Changes of assignments that are applied together or not at all. */
class AssignmentTransaction(
    val changes: List<AssignmentChange>,
    /** The term of the leader that makes them. */
    val term: Long,
    /** What is written to each block, by the number of the block. */
    val blocks: Map<Int, BlockWrite>,
) {
    /** The new [content] of a block, which must be at the revision [guardRevision] until then. */
    class BlockWrite(
        val guardRevision: Long,
        val content: Map<String, Assignment>,
    )

    /** What must hold of leader keys for the transaction to be applied. */
    val conditions: Set<LeaderCondition> get() = changes.mapNotNullTo(LinkedHashSet()) { it.condition }

    /** The machines that the transaction releases. */
    val releasedMachines: List<String> get() = changes.filter { it.kind == AssignmentChange.Kind.RELEASE }.map { it.machine }

    internal companion object {
        /** The transaction of the leader with [term] that makes the [wanted] changes; null if none is in a block that can be rewritten. */
        fun of(
            wanted: List<AssignmentChange>,
            table: AssignmentTable,
            term: Long,
        ): AssignmentTransaction? {
            val blocks = HashMap<Int, BlockWrite>()
            val changes = ArrayList<AssignmentChange>()
            for (change in wanted) {
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
