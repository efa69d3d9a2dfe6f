package mintfield.io.worker

import mintfield.core.model.Stage

/** The protocol's word for each phase of a job, in answers to users and in recorded final states. */
object JobPhaseCodec {
    private val words =
        mapOf(
            Stage.PENDING to "pending",
            Stage.RUNNING to "running",
            Stage.DONE to "done",
            Stage.WITHDRAWN to "withdrawn",
        )
    private val phases = words.entries.associate { (phase, word) -> word to phase }

    /** The word for [phase]. */
    fun write(phase: Stage): String = words.getValue(phase)

    /** The phase that [word] stands for; null if there is none. */
    fun parse(word: String?): Stage? = phases[word]
}
