package mintfield.io.worker

import mintfield.core.model.JobPhase
import mintfield.io.json.Json

/** Encoder of the status of a job, for responses to users. */
object JobStatusCodec {
    private const val ID = "id"
    private const val PHASE = "stage"
    private const val DONE_TASKS = "done"
    private const val RUNNING_TASKS = "running"

    /** Encodes the [phase] of job [id] with the numbers of its done and running tasks. */
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
