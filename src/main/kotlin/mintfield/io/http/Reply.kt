package mintfield.io.http

import mintfield.io.json.Json

/** The outcome of a call of [HttpClient]. */
sealed interface Reply {
    /** The server answered, with whatever status. */
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : Reply {
        /** The body as a JSON object; empty if it is none. */
        val json: Map<String, Any?> by lazy(LazyThreadSafetyMode.NONE) { Json.parseObject(body) ?: emptyMap() }
    }

    /**
     * There is no usable answer.
     *
     * @property sent whether any part of the request may have left; only if not, it is certain that it is never executed
     * @property tooLarge whether an answer came whose body is longer than the client accepts
     */
    class None(
        val sent: Boolean,
        val reason: String,
        val tooLarge: Boolean = false,
    ) : Reply
}
