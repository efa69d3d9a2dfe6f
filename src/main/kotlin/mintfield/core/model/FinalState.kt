package mintfield.core.model

/** The final state of an ended job. It never changes once it is recorded. */
data class FinalState(
    /** [JobPhase.DONE] or [JobPhase.CANCELLED]. */
    val phase: JobPhase,
    /** Number of its tasks that are done. */
    val doneTasks: Int,
    /** The time at which it ended, in milliseconds since the Unix epoch; 0 if not recorded. */
    val endedAtMs: Long = 0,
)
