package mintfield.io.store

import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.io.json.Json
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.worker.JobPhaseCodec

/** Codec of the stored final state of a job. The record is never deleted, since users may query an ended job at any time. */
object FinalStateCodec {
    private const val PHASE = "stage"
    private const val DONE_TASKS = "tasks"

    /** The time at which the job ended, in milliseconds since the Unix epoch; absent if unknown. */
    private const val ENDED_AT_MS = "at"

    private val FINAL_PHASES = setOf(JobPhase.DONE, JobPhase.CANCELLED)

    /** Encodes [state] as JSON. */
    fun encode(state: FinalState): ByteArray =
        Json.obj {
            writeStringField(PHASE, JobPhaseCodec.write(state.phase))
            writeNumberField(DONE_TASKS, state.doneTasks)
            if (state.endedAtMs > 0) writeNumberField(ENDED_AT_MS, state.endedAtMs)
        }

    /** Decodes [data]. Invalid without a known final phase: a job must not be reported as cancelled on an assumption. */
    fun decode(data: Map<String, Any?>): Decoded<FinalState> =
        decoding {
            val phase = JobPhaseCodec.parse(data.string(PHASE))?.takeIf { it in FINAL_PHASES }
            FinalState(phase.orInvalid(PHASE, "a final phase"), data.long(DONE_TASKS)?.toInt() ?: 0, data.long(ENDED_AT_MS) ?: 0)
        }
}
