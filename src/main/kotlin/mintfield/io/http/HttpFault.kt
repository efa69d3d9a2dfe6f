package mintfield.io.http

/**
 * Thrown if a received message violates HTTP/1.1 or exceeds a limit of the parser.
 *
 * Has no stack trace, since any peer can cause it at will and the message already describes the cause. A server sends the message to the client.
 *
 * @property status the status code of the server's response
 */
class HttpFault(
    val status: Int,
    reason: String,
) : Exception(reason, null, false, false)
