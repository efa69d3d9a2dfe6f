package mintfield.io.worker

import mintfield.core.model.JobPhase

/** Codec of the phase of a job, for responses to users and stored final states. */
object JobPhaseCodec {
    private val PHASES =
        WireWords(
            JobPhase.PENDING to "pending",
            JobPhase.RUNNING to "running",
            JobPhase.DONE to "done",
            JobPhase.CANCELLED to "withdrawn",
        )

    /** The word for [phase]. */
    fun write(phase: JobPhase): String = PHASES.wordFor(phase)

    /** The phase that [word] stands for; null if there is none. */
    fun parse(word: String?): JobPhase? = PHASES.valueOf(word)
}
