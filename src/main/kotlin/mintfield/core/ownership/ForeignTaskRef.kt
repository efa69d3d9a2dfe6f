package mintfield.core.ownership

import mintfield.core.model.TaskId

/** An attempt of a task that the asking leader planned on a machine which another shard owns now, and what it wants of it. */
data class ForeignTaskRef(
    val task: TaskId,
    /** The number of the attempt. */
    val attempt: Long,
    val action: Action,
) {
    /** What the owner of the machine is to do. Sent by position, so the order must stay. */
    enum class Action {
        /** Tell the state of the task. */
        QUERY,

        /** Stop the task, and tell its state. */
        STOP,

        /** Let the worker forget the ended task. */
        ACKNOWLEDGE,
    }
}
