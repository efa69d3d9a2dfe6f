package mintfield.core

import mintfield.core.model.WorkerCommand

/** The leader's answer to a worker's heartbeat: commands, or the reason why this leader must not answer it. */
sealed interface HeartbeatResponse {
    /**
     * The lease is renewed under the fencing token [term], and the worker carries out [commands] in their order. The list is
     * empty if there is nothing to do.
     */
    data class Commands(
        val term: Long,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    /** The worker has seen a higher fencing token than this leader's: another leader has been elected. */
    data object Deposed : HeartbeatResponse

    /** The leader of another shard acts for the machine, or at the moment none does. */
    data object NotOwner : HeartbeatResponse

    /** The machine is behind a zone fence. The heartbeat may be answered once the fence is lifted. */
    data object ZoneFenced : HeartbeatResponse

    /** The lease must not be renewed: the machine may hold a task of a job whose cancellation this leader does not know of. */
    data object RenewalRefused : HeartbeatResponse
}
