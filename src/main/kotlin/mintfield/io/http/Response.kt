package mintfield.io.http

import mintfield.io.json.Json

/**
 * What a server answers to a request; the body is JSON.
 *
 * @property retryAfterS seconds after which the client should come back, as `Retry-After`
 * @property allow the method that the path is served with, as `Allow`
 * @property close whether the connection is closed after the response
 */
class Response(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    /** The same response, after which the connection is closed. */
    fun closing() = Response(status, body, retryAfterS, allow, close = true)

    /** Makes responses of common forms. */
    companion object {
        /** A refusal with its [reason] in the field `error`. */
        fun error(
            status: Int,
            reason: String,
            retryAfterS: Int? = null,
        ) = Response(status, Json.obj { writeStringField("error", reason) }, retryAfterS)
    }
}
