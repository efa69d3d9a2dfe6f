package mintfield.core

import mintfield.core.model.WorkerCommand

/** The leader's response to a worker's heartbeat: commands, or the reason why this leader must not send any. */
sealed interface HeartbeatResponse {
    /**
     * Renews the worker's lease under the fencing token [term]. The worker executes [commands] in order; the list may be empty.
     */
    data class Commands(
        val term: Long,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    /** The worker has seen a higher fencing token than this leader's: another leader has been elected. */
    data object Deposed : HeartbeatResponse

    /** The machine is owned by the leader of another shard, or currently by none. */
    data object NotOwner : HeartbeatResponse

    /** The machine is behind a zone fence. Its lease must not be renewed until the fence is lifted. */
    data object ZoneFenced : HeartbeatResponse

    /** The lease must not be renewed: the machine may run a task of a job whose cancellation is not known to this leader. */
    data object RenewalRefused : HeartbeatResponse
}
