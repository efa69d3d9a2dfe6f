package mintfield.core.constants

/** Parameters of messages between controllers, relayed heartbeats and the cancellation log. */
object PeerConstants {
    /** Interval between status messages to the peers. */
    const val PEER_STATUS_INTERVAL_MS = 1_000L

    /** Minimum limit on the relayed messages in flight to one peer. */
    const val MIN_CONCURRENT_RELAYS = 12

    /** Limit on the relayed messages in flight to one peer, per socket that the controller may open. */
    const val CONCURRENT_RELAYS_PER_SOCKET = 0.004

    /** Time after its last response for which a leader counts as responding to relayed messages. */
    const val RELAY_RESPONSIVE_MS = 500L

    /** Minimum limit on the connections that peers may open to a controller. */
    const val MIN_PEER_CONNECTIONS = 64

    /** Connections of one peer in addition to those for relays. */
    const val PEER_SPARE_CONNECTIONS = 4

    /** Maximum number of jobs whose progress one status message carries, which keeps it within the limit on request bodies. */
    const val PROGRESS_PER_STATUS = 2_000

    /** Time for which the progress in a status message is valid. */
    const val PROGRESS_TIMEOUT_MS = 30_000L

    /** Timeout for a response from a peer. */
    const val PEER_TIMEOUT_MS = 900L

    /** Timeout for relaying a heartbeat to the leader. The worker waits four seconds. */
    const val RELAY_TIMEOUT_MS = 1_500L

    /** Time without a message from a peer after which workers are not made to depend on it. It is longer than a restart takes. */
    const val PEER_UNREACHABLE_AFTER_MS = 6_000L

    /** Time for which a controller serves a worker itself when the worker comes back after being redirected to a relay peer. */
    const val RELAY_REDIRECT_BACKOFF_MS = 20_000L

    /** Maximum time for which a heartbeat is held until an unreachable leader has a successor. The worker waits four seconds. */
    const val HELD_HEARTBEAT_TIMEOUT_MS = 3_500L

    /** Interval between checks whether a held heartbeat can be passed to an elected successor. */
    const val HELD_HEARTBEAT_CHECK_MS = 50L

    /** Minimum time after a direct heartbeat from a zone for which the workers of the zone are redirected to connect directly. */
    const val MIN_DIRECT_ROUTE_FRESH_MS = 2_500L

    /** Time added to the longest regular heartbeat interval when deciding whether a direct heartbeat from a zone is recent. */
    const val DIRECT_ROUTE_SLACK_MS = 1_250L

    /** Time for which a worker that was redirected is not redirected again. */
    const val REDIRECT_BACKOFF_MS = 12_000L

    /** Interval between two workers of a zone that probe whether the leader can be reached directly. */
    const val DIRECT_ROUTE_PROBE_MS = 5_000L

    /** Time after the expiry of its lease at which a leader that reaches neither the store nor its peers redirects workers. */
    const val ISOLATED_MS = 2_000L

    /** Part of `cancel_s` that a leader which may have missed cancellations keeps in reserve when it renews workers' leases. */
    const val LEASE_RENEWAL_MARGIN_MS = 2_000L

    /** Minimum number of confirmed cancellations that are kept for peers. */
    const val MIN_CANCELLATIONS_KEPT = 4_000

    /** Number of confirmed cancellations that are kept for peers, as a multiple of the changes that the store permits in `cancel_s`. */
    const val CANCELLATIONS_KEPT_FACTOR = 3.0

    /** Minimum number of cancellations in one page of the cancellation log. */
    const val MIN_CANCELLATIONS_PER_PAGE = 1_000

    /** Number of cancellations in one page of the cancellation log, in seconds of permitted changes. */
    const val CANCELLATIONS_PER_PAGE_S = 2.0

    /** Minimum interval at which an isolated leader redirects the same worker again, in lease durations. */
    const val REDIRECT_INTERVAL_LEASES = 2.0

    /** Time for which a peer's status is valid. */
    const val PEER_STATUS_TIMEOUT_MS = 3_500L

    /** Time of failed store calls after which a controller stops accepting user requests, provided that the store serves its peers. */
    const val STORE_UNAVAILABLE_MS = 2_000L

    /** Interval between checks of the clock and the peers for the log. */
    const val HEALTH_CHECK_MS = 500L

    /** Delay of a health check from which it is logged as a pause of the process. */
    const val PAUSE_LOG_THRESHOLD_MS = 1_500L

    /** Interval between summaries in the log. */
    const val SUMMARY_INTERVAL_MS = 10_000L
}
