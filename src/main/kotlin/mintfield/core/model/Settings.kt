package mintfield.core.model

/** The settings that the platform hands to a controller, and those of its operators. Addresses are an IP address and a port. */
data class Settings(
    /** The name of this controller. */
    val member: String,
    /** The zone that it runs in. */
    val zone: String,
    /** Where it serves users. */
    val clientListen: String,
    /** Where it serves workers and the other controllers. */
    val internalAddress: String,
    /** The other controllers. */
    val peers: List<Peer>,
    val cloudAddress: String,
    /** The address of the key-value store. */
    val stateAddress: String,
    /** All zones in which machines can be provisioned. */
    val zones: List<String>,
    val teams: List<Team>,
    val objectives: List<Objective>,
    /** Seconds between two heartbeats of a worker. */
    val heartbeatIntervalS: Double,
    /** Seconds after the last answered heartbeat in which a worker's lease expires. */
    val leaseS: Double,
    /** Seconds after a confirmed cancellation in which all tasks of the job must be gone. */
    val cancelS: Double,
    /** Requests per second that the store permits, of all controllers together. */
    val stateRps: Double,
    /** Puts and deletes per second that the store permits, of all controllers together. */
    val stateWriteRps: Double,
    /** The largest value that the store permits, in KiB. */
    val valueKb: Double,
    /** Puts and deletes that the store permits in a transaction. */
    val txnOps: Int,
    /** Requests per second that the cloud permits. */
    val cloudRps: Double,
    /** Seconds by which the cloud's list of machines may lag behind. */
    val listLagS: Double,
    /** Sockets that this controller may have open. */
    val maxSockets: Int,
    val operator: OperatorSettings = OperatorSettings(),
    /** Limits of the store that will replace the present ones, at a moment that is not announced; null if none are. */
    val nextStateLimits: StateLimits? = null,
) {
    /** The limits of the store that hold at first. */
    val stateLimits: StateLimits get() = StateLimits(stateWriteRps, valueKb, txnOps)
}
