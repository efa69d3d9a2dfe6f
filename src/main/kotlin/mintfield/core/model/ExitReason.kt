package mintfield.core.model

/** The reason why a task ended or its start was refused. */
enum class ExitReason {
    DONE,

    /** Ended by a stop command. */
    STOPPED,

    /** The task failed, because of a fault in the task or in the machine. */
    ERROR,

    /** Refused: not enough free resources on the machine. */
    INSUFFICIENT_RESOURCES,

    /** Refused: the machine has another attempt of the task. */
    ALREADY_RUNNING,

    /** Refused: the worker cannot find the job or the task. */
    UNKNOWN_TASK,

    /** Ended because other tasks of its gang are missing. */
    GANG_INCOMPLETE,

    /** No reason, or one that this version does not know. */
    UNKNOWN,
}
