package mintfield.core.model

/** The settings of a controller, from the platform and from its operators. An address is an IP address and a port. */
data class Settings(
    /** The name of this controller. */
    val member: String,
    /** The zone in which it runs. */
    val zone: String,
    /** The address at which it serves users. */
    val clientListen: String,
    /** The address at which it serves workers and the other controllers. */
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
    /** Seconds from a worker's last answered heartbeat until its lease expires. */
    val leaseS: Double,
    /** Seconds after a confirmed cancellation within which all tasks of the job must have ended. */
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
    /** Seconds by which the cloud's list of machines may be out of date. */
    val listLagS: Double,
    /** Maximum number of open sockets of this controller. */
    val maxSockets: Int,
    val operator: OperatorSettings = OperatorSettings(),
    /** Limits of the store that will replace the initial ones at an unannounced time; null if no change is planned. */
    val nextStateLimits: StateLimits? = null,
) {
    /** The initial limits of the store. */
    val stateLimits: StateLimits get() = StateLimits(stateWriteRps, valueKb, txnOps)
}
