package mintfield.io.worker

import mintfield.core.model.JobPhase

/** The protocol's word for each phase of a job, in answers to users and in recorded final states. */
object JobPhaseCodec {
    private val words =
        mapOf(
            JobPhase.PENDING to "pending",
            JobPhase.RUNNING to "running",
            JobPhase.DONE to "done",
            JobPhase.CANCELLED to "withdrawn",
        )
    private val phases = words.entries.associate { (phase, word) -> word to phase }

    /** The word for [phase]. */
    fun write(phase: JobPhase): String = words.getValue(phase)

    /** The phase that [word] stands for; null if there is none. */
    fun parse(word: String?): JobPhase? = phases[word]
}
