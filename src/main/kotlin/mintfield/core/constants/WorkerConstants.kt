package mintfield.core.constants

/** Parameters of heartbeats, direct calls and the reachability of workers. */
object WorkerConstants {
    /** Longest regular time between two heartbeats as a multiple of the heartbeat interval. The protocol varies the interval by a quarter. */
    const val MAX_HEARTBEAT_INTERVAL_FACTOR = 1.25

    /** Minimum time without a heartbeat after which a machine gets no new tasks. */
    const val MIN_HEARTBEAT_TIMEOUT_MS = 4_000L

    /** Time added to the longest regular heartbeat interval in the heartbeat timeout. A lost packet is resent after a second or two. */
    const val HEARTBEAT_TIMEOUT_SLACK_MS = 2_500L

    /** Timeout for the response to a direct call. */
    const val DIRECT_CALL_TIMEOUT_MS = 1_500L

    /** Time without direct calls to a worker that left one unanswered. */
    const val DIRECT_CALL_BACKOFF_MS = 5_000L

    /** Number of consecutive unanswered direct calls from which the network is assumed to be the cause. */
    const val DIRECT_PATH_LOST_AFTER = 6

    /** Interval between direct calls while the network is assumed to be the cause of unanswered ones. */
    const val DIRECT_PATH_PROBE_MS = 2_000L

    /** Minimum limit on the direct calls in flight. */
    const val MIN_DIRECT_CALLS = 32

    /** Fraction of the sockets that direct calls in flight may use. */
    const val DIRECT_CALL_SOCKET_FRACTION = 0.02

    /** Fraction of the sockets that pooled connections to workers may use. */
    const val WORKER_POOL_SOCKET_FRACTION = 0.12

    /** Time added to a worker's lease after which the lease has certainly expired. */
    const val WORKER_LEASE_MARGIN_MS = 500L

    /** Number of consecutive responses that a machine must have missed to count as unreachable. */
    const val UNREACHABLE_AFTER_MISSES = 2

    /** Interval between probes of an unreachable machine. */
    const val UNREACHABLE_PROBE_MS = 4_000L

    /** Time without new tasks after a machine has become reachable again. It doubles with each period in which the machine was unreachable. */
    const val REACHABLE_BACKOFF_MS = 2_000L

    /** Maximum number of times that [REACHABLE_BACKOFF_MS] is doubled. */
    const val MAX_REACHABLE_BACKOFF_DOUBLINGS = 5

    /** Time after which an unreachable machine is released. */
    const val UNREACHABLE_RELEASE_MS = 45_000L

    /** Maximum number of unreachable machines for which the machines, and not the network, are assumed to be the cause. */
    const val MAX_ATTRIBUTED_UNREACHABLE = 2

    /** [MAX_ATTRIBUTED_UNREACHABLE] as a fraction of all machines. The larger of the two limits applies. */
    const val MAX_ATTRIBUTED_UNREACHABLE_FRACTION = 0.05

    /** Fraction of `cancel_s` after which a machine on which a cancelled task does not stop is released, which proves that the task has ended. */
    const val CANCEL_RELEASE_FRACTION = 0.5
}
