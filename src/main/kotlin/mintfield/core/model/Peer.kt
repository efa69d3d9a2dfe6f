package mintfield.core.model

/** Another controller of the cluster. */
data class Peer(
    val member: String,
    val zone: String,
    /** Where it serves other controllers: an IP address and a port. */
    val address: String,
)
