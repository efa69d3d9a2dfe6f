package mintfield.io.store

import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.io.json.Json
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.worker.JobPhaseCodec

/** The record of how a job ended. It is kept for ever, as users may ask at any later time. */
object FinalStateCodec {
    private const val PHASE = "stage"
    private const val DONE_TASKS = "tasks"

    /** When the job ended, time of day in milliseconds; absent if that is not known. */
    private const val ENDED_AT_MS = "at"

    private val FINAL_PHASES = setOf(JobPhase.DONE, JobPhase.CANCELLED)

    /** The record of [state], as JSON. */
    fun encode(state: FinalState): ByteArray =
        Json.obj {
            writeStringField(PHASE, JobPhaseCodec.write(state.phase))
            writeNumberField(DONE_TASKS, state.tasks)
            if (state.endedAtMs > 0) writeNumberField(ENDED_AT_MS, state.endedAtMs)
        }

    /** The final state that [data] records; invalid without a final phase, as a job must not be called cancelled on a guess. */
    fun decode(data: Map<String, Any?>): Decoded<FinalState> =
        decoding {
            val phase = JobPhaseCodec.parse(data.string(PHASE))?.takeIf { it in FINAL_PHASES }
            FinalState(phase.orInvalid(PHASE, "the word of a final phase"), data.long(DONE_TASKS)?.toInt() ?: 0, data.long(ENDED_AT_MS) ?: 0)
        }
}
