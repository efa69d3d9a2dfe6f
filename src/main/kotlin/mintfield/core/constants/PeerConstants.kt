package mintfield.core.constants

/** Messages between controllers, relays of heartbeats and cancellation logs. */
object PeerConstants {
    /** Milliseconds between status messages to the peers. */
    const val PEER_STATUS_INTERVAL_MS = 1_000L

    /** Relayed messages in flight to one peer, at the least. */
    const val MIN_CONCURRENT_RELAYS = 12

    /** The same for each socket that the controller may open. */
    const val CONCURRENT_RELAYS_PER_SOCKET = 0.004

    /** Milliseconds since its last response for which a leader counts as answering relays. */
    const val RELAY_RESPONSIVE_MS = 500L

    /** Connections that peers may open here, at the least. */
    const val MIN_PEER_CONNECTIONS = 64

    /** Connections of one peer besides those for relays. */
    const val PEER_SPARE_CONNECTIONS = 4

    /** Jobs whose progress one status message carries, which keeps it within the bound on request bodies. */
    const val PROGRESS_PER_STATUS = 2_000

    /** Milliseconds for which the progress in a status message counts. */
    const val PROGRESS_TIMEOUT_MS = 30_000L

    /** Milliseconds to wait for a response of a peer. */
    const val PEER_TIMEOUT_MS = 900L

    /** Milliseconds that relaying a heartbeat to the leader may take; its worker waits four seconds. */
    const val RELAY_TIMEOUT_MS = 1_500L

    /** Milliseconds of silence after which workers are kept from depending on a peer: longer than a restart takes. */
    const val PEER_UNREACHABLE_AFTER_MS = 6_000L

    /** Milliseconds for which a worker that was redirected to a relay peer is served here if it comes back. */
    const val RELAY_REDIRECT_BACKOFF_MS = 20_000L

    /** Milliseconds that a heartbeat may be held until a successor of an unreachable leader is elected. Its worker waits four seconds. */
    const val HELD_HEARTBEAT_TIMEOUT_MS = 3_500L

    /** Milliseconds between checks whether it is. */
    const val HELD_HEARTBEAT_CHECK_MS = 50L

    /** Milliseconds since a direct heartbeat from a zone for which its workers are told to connect directly, at the least. */
    const val MIN_DIRECT_ROUTE_FRESH_MS = 2_500L

    /** Milliseconds beyond the longest regular heartbeat interval for the same. */
    const val DIRECT_ROUTE_SLACK_MS = 1_250L

    /** Milliseconds for which a worker that was redirected is not redirected again. */
    const val REDIRECT_BACKOFF_MS = 12_000L

    /** Milliseconds between two workers of a zone that probe whether the leader can be reached directly. */
    const val DIRECT_ROUTE_PROBE_MS = 5_000L

    /** Milliseconds past its lease after which a leader that reaches neither store nor peers redirects workers. */
    const val ISOLATED_MS = 2_000L

    /** Milliseconds of `cancel_s` kept in reserve by a leader that may have missed cancellations when it renews workers' leases. */
    const val LEASE_RENEWAL_MARGIN_MS = 2_000L

    /** Confirmed cancellations kept for peers, at the least. */
    const val MIN_CANCELLATIONS_KEPT = 4_000

    /** The same as a multiple of the changes that the store permits in `cancel_s`. */
    const val CANCELLATIONS_KEPT_FACTOR = 3.0

    /** Cancellations in one page of that log, at the least. */
    const val MIN_CANCELLATIONS_PER_PAGE = 1_000

    /** The same as seconds of permitted changes. */
    const val CANCELLATIONS_PER_PAGE_S = 2.0

    /** Leases between two times that an isolated leader redirects the same worker. */
    const val REDIRECT_INTERVAL_LEASES = 2.0

    /** Milliseconds for which a peer's status counts. */
    const val PEER_STATUS_TIMEOUT_MS = 3_500L

    /** Milliseconds of failed store calls after which a controller whose peers are served stops taking users. */
    const val STORE_UNAVAILABLE_MS = 2_000L

    /** Milliseconds between looks at the clock and the peers for the log. */
    const val HEALTH_CHECK_MS = 500L

    /** Milliseconds that such a look must be late to be logged as a pause of the process. */
    const val PAUSE_LOG_THRESHOLD_MS = 1_500L

    /** Milliseconds between summaries in the log. */
    const val SUMMARY_INTERVAL_MS = 10_000L
}
