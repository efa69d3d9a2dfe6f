package mintfield.core.ownership

import mintfield.core.model.TaskId

/** An attempt that the querying leader planned on a machine that another shard owns now, with the [action] requested for it. */
data class ForeignTaskRef(
    val task: TaskId,
    /** The number of the attempt. */
    val attempt: Long,
    val action: Action,
) {
    /** The action requested from the owner of the machine. Encoded by ordinal, so the order must not change. */
    enum class Action {
        /** Report the state of the task. */
        QUERY,

        /** Stop the task, and report its state. */
        STOP,

        /** Acknowledge the ended task, so that the worker deletes its record of it. */
        ACKNOWLEDGE,
    }
}
