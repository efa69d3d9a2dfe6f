package mintfield.core.model

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
