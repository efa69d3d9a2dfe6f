package mintfield.core.model

/** The state of a task on a worker. */
enum class TaskState {
    /** The task waits for its image, or for the other tasks of its gang. */
    PULLING,
    RUNNING,

    /** The task was commanded to stop and is saving a checkpoint. */
    CHECKPOINTING,

    /** The task has ended, or its start was refused. */
    ENDED,
}
