package mintfield.io.http

import mintfield.io.json.Json

/** The result of [HttpClient.call]. */
sealed interface HttpResult {
    /** A response of any status. */
    class Received(
        val status: Int,
        val body: ByteArray,
    ) : HttpResult {
        /** The body as a JSON object; empty if the body is not one. */
        val json: Map<String, Any?> by lazy(LazyThreadSafetyMode.NONE) { Json.parseObject(body) ?: emptyMap() }
    }

    /**
     * No usable response.
     *
     * @property sent whether any part of the request may have been sent; only if false is it certain that the request is never executed
     * @property reason the cause, for the log
     * @property tooLarge whether the body of the response is longer than the client accepts
     */
    class NoResponse(
        val sent: Boolean,
        val reason: String,
        val tooLarge: Boolean = false,
    ) : HttpResult
}
