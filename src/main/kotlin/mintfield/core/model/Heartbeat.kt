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
