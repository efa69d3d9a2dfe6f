package mintfield.io.http

import mintfield.io.json.Json

/**
 * The response of a server to a request; the body is JSON.
 *
 * @property retryAfterS seconds after which the client should retry, sent as `Retry-After`
 * @property allow the method that the path supports, sent as `Allow`
 * @property close whether the connection is closed after the response
 */
class Response(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    /** Returns a copy that closes the connection after it has been sent. */
    fun closing() = Response(status, body, retryAfterS, allow, close = true)

    /** Factory functions for common responses. */
    companion object {
        /** An error response whose body is an object with [reason] in the field `error`. */
        fun error(
            status: Int,
            reason: String,
            retryAfterS: Int? = null,
        ) = Response(status, Json.obj { writeStringField("error", reason) }, retryAfterS)
    }
}
