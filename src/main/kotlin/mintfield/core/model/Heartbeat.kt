package mintfield.core.model

/** The state of a machine and its tasks, from its worker. The heartbeats of one machine are ordered by ([incarnation], [sequence]). */
data class Heartbeat(
    val machine: String,
    val address: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** Starts at 1 and increases each time that the worker's lease expires, at which the worker loses all its tasks. */
    val incarnation: Long,
    /** Increases with each message of the worker, whether a heartbeat or the response to a direct call. */
    val sequence: Long,
    /** The highest fencing token that the worker has seen. */
    val termSeen: Long,
    /** Seconds until the cloud terminates the machine; null without a termination notice. */
    val terminationNoticeS: Double?,
    /** All tasks on the machine, including those that have ended and are not acknowledged. */
    val tasks: List<TaskStatus>,
)
