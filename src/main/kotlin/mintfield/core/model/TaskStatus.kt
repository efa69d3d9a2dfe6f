package mintfield.core.model

/** The status of one task in a heartbeat. */
data class TaskStatus(
    val task: TaskId,
    val attempt: Long,
    val state: TaskState,
    /** Null unless the task has ended. */
    val cause: ExitReason?,
)
