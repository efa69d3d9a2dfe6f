package mintfield.core.model

/** Another controller of the cluster. */
data class Peer(
    val member: String,
    val zone: String,
    /** The IP address and port at which it serves other controllers. */
    val address: String,
)
