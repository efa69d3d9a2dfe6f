package mintfield.core

/**
 * The leader's decision to provision [number] instances of a machine type in a zone. It is recorded before the request is sent. A new
 * leader repeats the request with the same [idempotencyKey], and the cloud carries it out only once.
 */
data class ScaleOutIntent(
    val idempotencyKey: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val number: Int,
)
