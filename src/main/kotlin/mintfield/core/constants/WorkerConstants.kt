package mintfield.core.constants

/** Heartbeats, direct commands and reachability of workers. */
object WorkerConstants {
    /** Times the heartbeat interval after which a heartbeat comes at the latest: the protocol's interval varies by a quarter. */
    const val HEARTBEAT_SPREAD = 1.25

    /** Milliseconds without a heartbeat after which a machine gets no new tasks, at the least. */
    const val MIN_HEARTBEAT_TIMEOUT_MS = 4_000L

    /** Milliseconds beyond the longest regular interval for the same: a lost packet is resent after a second or two. */
    const val HEARTBEAT_TIMEOUT_SLACK_MS = 2_500L

    /** Milliseconds to wait for the response to a direct command. */
    const val DIRECT_COMMAND_TIMEOUT_MS = 1_500L

    /** Milliseconds without direct commands to a worker that left one unanswered. */
    const val DIRECT_COMMAND_BACKOFF_MS = 5_000L

    /** Consecutive unanswered direct commands from which on the network is taken to be the cause. */
    const val DIRECT_PATH_LOST_AFTER = 6

    /** Milliseconds between direct commands after that. */
    const val DIRECT_PATH_PROBE_MS = 2_000L

    /** Direct commands in flight at once, at the least. */
    const val MIN_DIRECT_COMMANDS = 32

    /** Fraction of the sockets for direct commands in flight. */
    const val DIRECT_COMMAND_SOCKET_FRACTION = 0.02

    /** Fraction of the sockets for pooled connections to workers. */
    const val WORKER_POOL_SOCKET_FRACTION = 0.12

    /** Milliseconds after which a worker's lease counts as certainly expired, beyond the lease itself. */
    const val WORKER_LEASE_MARGIN_MS = 500L

    /** Consecutive responses that a machine must have missed to count as unreachable. */
    const val UNREACHABLE_AFTER_MISSES = 2

    /** Milliseconds between probes of an unreachable machine. */
    const val UNREACHABLE_PROBE_MS = 4_000L

    /** Milliseconds without new tasks after a machine is reachable again, doubled with each time that it was not. */
    const val REACHABLE_BACKOFF_MS = 2_000L

    /** Times that this backoff is doubled at the most. */
    const val MAX_REACHABLE_BACKOFF_DOUBLINGS = 5

    /** Milliseconds after which an unreachable machine is released. */
    const val UNREACHABLE_RELEASE_MS = 45_000L

    /** Unreachable machines up to which the machines, and not the network, are taken to be the cause. */
    const val MAX_BLAMED_UNREACHABLE = 2

    /** The same as a fraction of all machines, if that is more. */
    const val MAX_BLAMED_UNREACHABLE_FRACTION = 0.05

    /** Fraction of `cancel_s` after which a machine on which a cancelled task does not stop is released, as the last proof. */
    const val CANCEL_RELEASE_FRACTION = 0.5
}
