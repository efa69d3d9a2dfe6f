package mintfield.core.model

/** A command to a worker. It may be repeated: an executed command has no further effect, except a [Start] after an [Acknowledge]. */
sealed interface WorkerCommand {
    /** The task to which the command applies. */
    val task: TaskId

    /** The attempt to which the command applies; other attempts of the task are not affected. */
    val attempt: Long

    /** Starts the attempt, unless the worker already has it, in any state. */
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

    /** Removes the ended attempt from the worker's heartbeats. The worker then retains no information about the attempt. */
    data class Acknowledge(
        override val task: TaskId,
        override val attempt: Long,
    ) : WorkerCommand
}
