package mintfield.io.worker

import mintfield.core.model.JobPhase
import mintfield.io.json.Json

/** The state of a job in a response to its user. */
object JobStatusCodec {
    private const val ID = "id"
    private const val PHASE = "stage"
    private const val DONE_TASKS = "done"
    private const val RUNNING_TASKS = "running"

    /** The body that gives the [phase] of job [id] and how many of its tasks are done and run. */
    fun encode(
        id: String,
        phase: JobPhase,
        doneTasks: Int,
        runningTasks: Int,
    ): ByteArray =
        Json.obj {
            writeStringField(ID, id)
            writeStringField(PHASE, JobPhaseCodec.write(phase))
            writeNumberField(DONE_TASKS, doneTasks)
            writeNumberField(RUNNING_TASKS, runningTasks)
        }
}
