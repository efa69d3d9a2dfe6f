package mintfield.core.model

/** What a heartbeat says of one task. */
data class TaskStatus(
    val task: TaskId,
    val attempt: Long,
    val state: TaskState,
    /** Null unless the task has ended. */
    val cause: ExitReason?,
)
