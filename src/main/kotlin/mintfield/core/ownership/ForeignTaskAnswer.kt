package mintfield.core.ownership

import mintfield.core.model.TaskStatus

/** The answer of a shard's leader to a [ForeignTaskQuery]. */
sealed interface ForeignTaskAnswer {
    /** The shard does not own the machine. */
    data object NotOwner : ForeignTaskAnswer

    /** The worker has not sent a heartbeat under this owner's token yet: a start of a former owner may still reach it. */
    data object NoHeartbeatYet : ForeignTaskAnswer

    /** The tasks that the worker's last heartbeat shows, out of those asked about; the others are absent for good. */
    data class Status(
        val present: List<TaskStatus>,
    ) : ForeignTaskAnswer
}
