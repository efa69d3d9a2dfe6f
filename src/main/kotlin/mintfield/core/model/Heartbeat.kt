package mintfield.core.model

/** What a worker says of itself. (incarnation, sequence) orders the heartbeats of one worker. */
data class Heartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val incarnation: Long,
    val sequence: Long,
    val termSeen: Long,
    val terminationNoticeS: Double?,
    val tasks: List<TaskStatus>,
)

enum class TaskState { PULLING, RUNNING, CHECKPOINTING, ENDED }

enum class ExitReason { DONE, STOPPED, ERROR, INSUFFICIENT_RESOURCES, ALREADY_RUNNING, UNKNOWN_TASK, GANG_INCOMPLETE, UNKNOWN }

data class TaskStatus(
    val task: TaskId,
    val attempt: Long,
    val state: TaskState,
    val cause: ExitReason?,
)

/** A command to a worker. */
sealed interface WorkerCommand {
    val task: TaskId
    val attempt: Long

    data class Start(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand

    data class Stop(
        override val task: TaskId,
        override val attempt: Long,
        val graceS: Double,
    ) : WorkerCommand

    data class Acknowledge(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand
}
