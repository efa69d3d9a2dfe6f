package mintfield.core.model

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
