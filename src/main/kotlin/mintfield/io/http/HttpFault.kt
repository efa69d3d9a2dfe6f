package mintfield.io.http

/**
 * A received message violates HTTP/1.1 or one of this program's limits.
 *
 * It carries no stack trace: it is thrown for whatever a peer sends and says all there is to say in its message.
 *
 * @property status the status code with which a server answers it
 */
class HttpFault(
    val status: Int,
    reason: String,
) : Exception(reason, null, false, false)
