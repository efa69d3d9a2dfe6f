package mintfield.core.model

/** The phase of a job as users see it. [DONE] and [CANCELLED] are final. */
enum class JobPhase {
    /** No task runs. */
    PENDING,

    /** At least one task runs. */
    RUNNING,

    /** All tasks are done. */
    DONE,

    /** Its user cancelled it, or a job that it depends on is cancelled. */
    CANCELLED,
}
