package mintfield.core.constants

/** Limits of the HTTP client and server. */
object HttpConstants {
    /** Maximum size of a message head. Longer heads are refused. */
    const val MAX_HEAD_BYTES = 8 * 1024

    /** Maximum size of a request body, as defined by the protocol. */
    const val MAX_BODY_BYTES = 64 * 1024

    /** Maximum size of a response body. Longer bodies are dropped unread. Watches of the store have no separate limit. */
    const val MAX_RESPONSE_BYTES = 4 * 1024 * 1024

    /** Minimum number of connections that may wait to be accepted. */
    const val MIN_ACCEPT_BACKLOG = 1_024

    /** Delay before binding a listening address is retried. */
    const val BIND_RETRY_MS = 250L

    /** Maximum number of connections accepted in a row before other events are handled. */
    const val MAX_CONSECUTIVE_ACCEPTS = 16

    /** Delay after a failed accept, so that a shortage of sockets does not become a busy loop. */
    const val ACCEPT_BACKOFF_MS = 50L

    /** Size of one read from a client. */
    const val SERVER_READ_BYTES = 4 * 1024

    /** Size of one read from a server. */
    const val CLIENT_READ_BYTES = 8 * 1024

    /** Time for which a connection may be idle between requests. Users poll every five seconds. */
    const val SERVER_IDLE_TIMEOUT_MS = 60_000L

    /** Interval between checks for connections that have timed out. */
    const val SERVER_TIMEOUT_CHECK_MS = 1_000L

    /** Timeout for receiving a complete message once its first bytes have arrived, and for the client to accept a response. */
    const val SERVER_MESSAGE_TIMEOUT_MS = 10_000L

    /** Time after which a pooled client connection is not reused. */
    const val CLIENT_IDLE_TIMEOUT_MS = 20_000L

    /** Fraction of `max_sockets` for incoming connections. Outgoing connections need the rest. */
    const val INCOMING_SOCKET_FRACTION = 0.7

    /** Fraction of the incoming connections above which workers' connections are closed after each response. */
    const val KEEP_ALIVE_FRACTION = 0.8
}
