package mintfield.core.model

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
