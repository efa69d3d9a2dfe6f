package mintfield.core.steps

/** A step of a job's handling; [feeds] are the steps that use its output. */
data class Step(
    val name: String,
    val writes: Boolean,
    val feeds: List<String>,
)

/** The steps of a workflow, a graph without cycles that ends in [final]. */
class StepGraph(
    steps: List<Step>,
    val final: String,
) {
    private val byName = steps.associateBy { it.name }
    val names: List<String> = order(steps)

    init {
        require(final in byName) { "no final step $final" }
        steps.forEach { s -> s.feeds.forEach { require(it in byName) { "${s.name} feeds the unknown step $it" } } }
    }

    fun step(name: String): Step = byName.getValue(name)

    /**
     * Names of the steps whose outputs must be recorded (the paper's selective function recording): those that write,
     * and those that only read but whose output reaches more than one of the recorded steps and the final step, so
     * that a replay which read anew could disagree with what was recorded.
     */
    fun recorded(): Set<String> {
        val recorded = names.filterTo(LinkedHashSet()) { byName.getValue(it).writes }
        for (name in names.asReversed()) {
            if (name !in recorded && reaches(name, recorded).size > 1) recorded.add(name)
        }
        return recorded
    }

    /** Recorded steps, and the final one, that are reached from [from] without passing through a recorded step. */
    private fun reaches(
        from: String,
        recorded: Set<String>,
    ): Set<String> {
        val found = LinkedHashSet<String>()
        val seen = HashSet<String>()
        val queue = ArrayDeque(byName.getValue(from).feeds)
        while (queue.isNotEmpty()) {
            val name = queue.removeFirst()
            if (!seen.add(name)) continue
            if (name in recorded || name == final) found.add(name)
            if (name !in recorded) queue.addAll(byName.getValue(name).feeds)
        }
        return found
    }

    /** Every step before those that it feeds. */
    private fun order(steps: List<Step>): List<String> {
        val left = steps.associateTo(LinkedHashMap()) { s -> s.name to steps.count { s.name in it.feeds } }
        val done = ArrayList<String>()
        while (left.isNotEmpty()) {
            val next = left.entries.firstOrNull { it.value == 0 }?.key
            requireNotNull(next) { "the steps form a cycle: ${left.keys}" }
            left.remove(next)
            done.add(next)
            byName.getValue(next).feeds.forEach { f -> left.computeIfPresent(f) { _, n -> n - 1 } }
        }
        return done
    }
}

/** The handling of a job, as mintfield does it. */
object JobSteps {
    /** Reads the catalogue of machine types. */
    const val CATALOGUE = "catalogue"

    /** Which types could hold a task; rent and plan both build on it, so the rule records it. */
    const val COMPATIBLE_TYPES = "fits"
    const val INTAKE = "intake"

    /**
     * The finish steps of the jobs that it depends on. Their outputs are those jobs' final states, which are recorded and never
     * change; whether the job is ready is computed from them wherever it is needed.
     */
    const val PREDECESSORS = "predecessors"

    /** Reads what the machines hold. */
    const val FLEET = "fleet"
    const val PLAN = "plan"
    const val SCALE_OUT = "rent"

    /** Sends starts to workers; commands are idempotent, so there is nothing to record. */
    const val START = "start"

    /** Reads which tasks the workers report as done. */
    const val HEARTBEATS = "reports"

    /** Adds to the done-set. */
    const val DONE_SET = "done-set"
    const val FINISH = "finish"

    val graph =
        StepGraph(
            listOf(
                Step(CATALOGUE, writes = false, feeds = listOf(COMPATIBLE_TYPES)),
                Step(COMPATIBLE_TYPES, writes = false, feeds = listOf(PLAN, SCALE_OUT)),
                Step(INTAKE, writes = true, feeds = listOf(PLAN, SCALE_OUT)),
                Step(PREDECESSORS, writes = true, feeds = listOf(PLAN, SCALE_OUT)),
                Step(FLEET, writes = false, feeds = listOf(PLAN)),
                Step(SCALE_OUT, writes = true, feeds = listOf(FLEET)),
                Step(PLAN, writes = true, feeds = listOf(START)),
                Step(START, writes = false, feeds = listOf(HEARTBEATS)),
                Step(HEARTBEATS, writes = false, feeds = listOf(DONE_SET)),
                Step(DONE_SET, writes = true, feeds = listOf(FINISH)),
                Step(FINISH, writes = true, feeds = emptyList()),
            ),
            FINISH,
        )

    /** What a job's records must hold. */
    val recorded: Set<String> = graph.recorded()
}
