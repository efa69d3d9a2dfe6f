package mintfield.core.ownership

import mintfield.core.model.TaskStatus

/** The response of a shard's leader to a [ForeignTaskQuery]. */
sealed interface ForeignTaskResponse {
    /** The shard does not own the machine. */
    data object NotOwner : ForeignTaskResponse

    /** The worker has not sent a heartbeat with the new owner's fencing token yet, so a start by a former owner may still reach it. */
    data object NoHeartbeatYet : ForeignTaskResponse

    /** The queried tasks that the worker's last heartbeat lists. All other queried tasks have ended or can never start. */
    data class Status(
        val present: List<TaskStatus>,
    ) : ForeignTaskResponse
}
