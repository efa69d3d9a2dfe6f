package mintfield.core.constants

/** Limits of the HTTP client and server. */
object HttpConstants {
    /** Size of a message head, in bytes, above which it is refused. */
    const val MAX_HEAD_BYTES = 8 * 1024

    /** Size of a request body, in bytes: the protocol's bound. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** Size of a response body, in bytes, above which it is dropped unread. Watches of the store have no bound of their own. */
    const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024

    /** Connections that may wait to be accepted, at the least. */
    const val MIN_ACCEPT_BACKLOG = 1_024

    /** Milliseconds before an address that cannot be listened on is tried again. */
    const val BIND_RETRY_MS = 250L

    /** Connections accepted in a row, ahead of other events. */
    const val MAX_CONSECUTIVE_ACCEPTS = 16

    /** Milliseconds to wait after a failed accept, so that a lack of sockets does not become a busy loop. */
    const val ACCEPT_BACKOFF_MS = 50L

    /** Bytes read at once from a client. */
    const val SERVER_READ_BYTES = 4 * 1024

    /** Bytes read at once from a server. */
    const val CLIENT_READ_BYTES = 8 * 1024

    /** Milliseconds that a connection may be idle between requests. Users poll every five seconds. */
    const val SERVER_IDLE_TIMEOUT_MS = 60_000L

    /** Milliseconds between checks for connections that have timed out. */
    const val SERVER_TIMEOUT_CHECK_MS = 1_000L

    /** Milliseconds in which a message that has begun must be complete, and in which a response must be taken. */
    const val SERVER_MESSAGE_TIMEOUT_MS = 10_000L

    /** Milliseconds after which a pooled client connection is not reused. */
    const val CLIENT_IDLE_TIMEOUT_MS = 20_000L

    /** Fraction of `max_sockets` for incoming connections; outgoing ones need the rest. */
    const val INCOMING_SOCKET_FRACTION = 0.7

    /** Fraction of the incoming connections above which workers' connections are closed after each response. */
    const val KEEP_ALIVE_FRACTION = 0.8
}
