package mintfield.io.http

/**
 * One complete HTTP/1.1 message.
 *
 * The meaning of the three parts of the start line depends on the kind of message (RFC 9112): in a request, [first] is the method, [second]
 * the target and [third] the version; in a response, [first] is the version, [second] the status code and [third] the reason phrase.
 *
 * @property headers header fields by name in lower case
 */
class HttpMessage(
    val first: String,
    val second: String,
    val third: String,
    val headers: Map<String, String>,
    val body: ByteArray,
) {
    /** The method of a request. */
    val method: String get() = first

    /** The target of a request: path and query. */
    val path: String get() = second

    /** The status code of a response. Requests have none. */
    val status: Int get() = second.toInt()

    /** Whether the sender keeps the connection open after this message. */
    val keepAlive: Boolean
        get() = !(headers["connection"] ?: "").contains("close", ignoreCase = true)
}
