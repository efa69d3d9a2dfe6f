package mintfield.core.model

/** What a worker reports of its machine and its tasks. The heartbeats of one machine are ordered by ([incarnation], [sequence]). */
data class Heartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Starts at 1 and rises each time the worker's lease expires, with which it loses all its tasks. */
    val incarnation: Long,
    /** Rises with each report of the worker, whether a heartbeat or the response to a direct command. */
    val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    val termSeen: Long,
    /** Seconds until the cloud takes the machine back; null without a notice. */
    val terminationNoticeS: Double?,
    /** All tasks on the machine, with those that have ended and are not acknowledged. */
    val tasks: List<TaskStatus>,
)

/** What a worker is doing with a task. */
enum class TaskState {
    /** The task waits for its image, or for the other tasks of its gang. */
    PULLING,
    RUNNING,

    /** The task was told to stop and is saving a checkpoint. */
    CHECKPOINTING,

    /** The task has ended, or its start was refused. */
    ENDED,
}

/** Why a task has ended, or why its start was refused. */
enum class ExitReason {
    DONE,

    /** Ended by a stop command. */
    STOPPED,

    /** The task failed, by its own fault or the machine's. */
    ERROR,

    /** Refused: not enough free resources on the machine. */
    INSUFFICIENT_RESOURCES,

    /** Refused: the machine has another attempt of the task. */
    ALREADY_RUNNING,

    /** Refused: the worker finds no such job or task. */
    UNKNOWN_TASK,

    /** Ended since other tasks of its gang are missing. */
    GANG_INCOMPLETE,

    /** A reason that this version does not know, or none. */
    UNKNOWN,
}

/** What a heartbeat says of one task. */
data class TaskStatus(
    val task: TaskId,
    val attempt: Long,
    val state: TaskState,
    /** Null unless the task has ended. */
    val cause: ExitReason?,
)

/** A command to a worker, which may be repeated: one that has been carried out has no effect, except a [Start] after an [Acknowledge]. */
sealed interface WorkerCommand {
    /** The task that the command is about. */
    val task: TaskId

    /** The attempt that the command is about; other attempts of the task are not affected. */
    val attempt: Long

    /** Starts the attempt, unless the worker knows it in any state. */
    data class Start(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand

    /** Stops the attempt. It may save a checkpoint first if [graceS] (seconds) suffices for that. */
    data class Stop(
        override val task: TaskId,
        override val attempt: Long,
        val graceS: Double,
    ) : WorkerCommand

    /** Removes the ended attempt from the worker's heartbeats. The worker then does not know the attempt any more. */
    data class Acknowledge(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand
}
