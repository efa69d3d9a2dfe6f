package mintfield.core.steps

/** The processing of a job as a workflow, which determines the outputs that the job's records must hold for the replay by a new leader. */
object JobSteps {
    /** Reads the catalogue of machine types. */
    const val CATALOGUE = "catalogue"

    /** Computes the machine types with capacity for a task. The output is recorded because scale-out and plan both use it. */
    const val COMPATIBLE_TYPES = "fits"

    /** Records the accepted job. */
    const val INTAKE = "intake"

    /**
     * The finish steps of the job's predecessors. Their outputs are final states, which are recorded and never change. Whether the job
     * is ready is computed from them where needed.
     */
    const val PREDECESSORS = "predecessors"

    /** Reads the machines and the tasks that run on them. */
    const val FLEET = "fleet"

    /** Assigns tasks to machines. */
    const val PLAN = "plan"

    /** Records the intent to provision machines. */
    const val SCALE_OUT = "rent"

    /** Sends start commands to workers. Commands are idempotent, so nothing is recorded. */
    const val START = "start"

    /** Reads the tasks that workers report as done. */
    const val HEARTBEATS = "reports"

    /** Adds completed tasks to the recorded set of done tasks. */
    const val DONE_SET = "done-set"

    /** Records the final state of the job. */
    const val FINISH = "finish"

    /** The steps and the data flow between them. */
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
