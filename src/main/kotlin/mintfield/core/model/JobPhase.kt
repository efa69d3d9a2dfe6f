package mintfield.core.model

/** The phase of a job as users see it. [DONE] and [CANCELLED] are final. */
enum class JobPhase {
    /** No task runs. */
    PENDING,

    /** At least one task runs. */
    RUNNING,

    /** All tasks are done. */
    DONE,

    /** The user cancelled the job, or one of its predecessors is cancelled. */
    CANCELLED,
}
