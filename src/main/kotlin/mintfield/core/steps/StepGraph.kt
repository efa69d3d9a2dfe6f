package mintfield.core.steps

/**
 * The steps of a workflow as an acyclic graph that ends in the step [final]. Throws [IllegalArgumentException] if [final] or the target
 * of an edge is missing, or if the steps form a cycle.
 */
class StepGraph(
    steps: List<Step>,
    val final: String,
) {
    private val byName = steps.associateBy { it.name }

    /** The names of the steps in topological order: each step comes before the steps that it feeds. */
    val names: List<String> = topologicalOrder(steps)

    init {
        require(final in byName) { "final step $final is not among the steps" }
        steps.forEach { step -> step.feeds.forEach { require(it in byName) { "${step.name} feeds the unknown step $it" } } }
    }

    /**
     * Returns the names of the steps whose outputs must be recorded, by the rule of selective function recording in Apiary, a
     * DBMS-integrated transactional function-as-a-service framework: all steps that write, and each read-only step whose output reaches
     * more than one among the recorded steps and the final step. A replay that repeated the read could contradict the recorded
     * outputs.
     */
    fun recorded(): Set<String> {
        val recorded = names.filterTo(LinkedHashSet()) { byName.getValue(it).writes }
        for (name in names.asReversed()) {
            if (name !in recorded && reachedBy(name, recorded).size > 1) recorded.add(name)
        }
        return recorded
    }

    /** The recorded steps, and the final one, that the output of [start] reaches without passing through a recorded step. */
    private fun reachedBy(
        start: String,
        recorded: Set<String>,
    ): Set<String> {
        val reached = LinkedHashSet<String>()
        val seen = HashSet<String>()
        val queue = ArrayDeque(byName.getValue(start).feeds)
        while (queue.isNotEmpty()) {
            val name = queue.removeFirst()
            if (!seen.add(name)) continue
            if (name in recorded || name == final) reached.add(name)
            if (name !in recorded) queue.addAll(byName.getValue(name).feeds)
        }
        return reached
    }

    /** Sorts the steps by Kahn's algorithm. */
    private fun topologicalOrder(steps: List<Step>): List<String> {
        val unmetInputs = steps.associateTo(LinkedHashMap()) { step -> step.name to steps.count { step.name in it.feeds } }
        val order = ArrayList<String>()
        while (unmetInputs.isNotEmpty()) {
            val next = unmetInputs.entries.firstOrNull { it.value == 0 }?.key
            requireNotNull(next) { "the steps form a cycle: ${unmetInputs.keys}" }
            unmetInputs.remove(next)
            order.add(next)
            byName.getValue(next).feeds.forEach { fed -> unmetInputs.computeIfPresent(fed) { _, count -> count - 1 } }
        }
        return order
    }
}
