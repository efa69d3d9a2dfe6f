package mintfield.core.steps

/** The handling of a job as a workflow. It determines which outputs the job's records must hold, so that a new leader can replay them. */
object JobSteps {
    /** Reads the catalogue of machine types. */
    const val CATALOGUE = "catalogue"

    /** Computes which machine types could hold a task. Scale-out and plan both use it, so it is recorded. */
    const val COMPATIBLE_TYPES = "fits"

    /** Records that the job is accepted. */
    const val INTAKE = "intake"

    /**
     * The finish steps of the jobs that it depends on. Their outputs are those jobs' final states, which are recorded and never change;
     * whether the job is ready is computed from them wherever it is needed.
     */
    const val PREDECESSORS = "predecessors"

    /** Reads which machines there are and what runs on them. */
    const val FLEET = "fleet"

    /** Assigns tasks to machines. */
    const val PLAN = "plan"

    /** Records the intent to provision machines. */
    const val SCALE_OUT = "rent"

    /** Sends starts to workers. Commands are idempotent, so there is nothing to record. */
    const val START = "start"

    /** Reads which tasks the workers report as done. */
    const val HEARTBEATS = "reports"

    /** Adds tasks to the done-set. */
    const val DONE_SET = "done-set"

    /** Records the final state. */
    const val FINISH = "finish"

    /** The steps and what they feed. */
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

    /** The steps whose outputs a job's records must hold. */
    val recorded: Set<String> = graph.recorded()
}
