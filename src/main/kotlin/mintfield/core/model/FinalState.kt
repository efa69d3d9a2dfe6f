package mintfield.core.model

/** How a job ended. Once it is recorded it never changes. */
data class FinalState(
    /** [JobPhase.DONE] or [JobPhase.CANCELLED]. */
    val phase: JobPhase,
    /** Number of its tasks that are done. */
    val tasks: Int,
    /** When it ended, time of day in milliseconds; 0 if that was not recorded. */
    val endedAtMs: Long = 0,
)
