package mintfield.core.constants

/** Parameters of leader election, the leader's lease and the term. */
object LeadershipConstants {
    /** Time to live of the leader key without renewal. A successor must be elected well within a worker's lease. */
    const val LEADER_LEASE_MS = 3_500L

    /** Interval between renewals of the leader's lease. Three renewals may fail before the lease expires. */
    const val LEASE_RENEWAL_INTERVAL_MS = 800L

    /** Time by which the holder of a lease shortens it to allow for the granularity of timers. */
    const val LEASE_MARGIN_MS = 150L

    /** Maximum relative drift between two monotonic clocks: twice the protocol's 0.05 %. */
    const val MAX_CLOCK_DRIFT = 0.001

    /** Time window over which candidates spread their first election attempt. */
    const val ELECTION_JITTER_MS = 250L

    /** Time for which a watch of the leader key stays open. */
    const val LEADER_WATCH_MS = 20_000L

    /** Size of the range of attempt numbers of a term. The range starts at the term multiplied by this size. No term has as many rounds. */
    const val ATTEMPTS_PER_TERM = 65_536L

    /** Minimum time between two raises of the term that machines request because no other transaction provides a higher token. */
    const val MIN_TERM_RAISE_INTERVAL_MS = 2_000L

    /** Minimum time between a raise of the term and one that permits the deletion of obsolete records. A new leader has to read the remaining ones. */
    const val GARBAGE_TERM_RAISE_INTERVAL_MS = 10_000L

    /** Time after startup for which the client port stays closed while no leader is known. It is longer than an election takes. */
    const val LISTEN_DELAY_WITHOUT_LEADER_MS = 1_500L

    /** Interval between checks whether a leader is known. */
    const val LEADER_KNOWN_CHECK_MS = 20L

    /** Time after startup from which a replay is not delayed: the code is compiled by then, so a replay leaves enough CPU for lease renewals. */
    const val WARMED_UP_MS = 30_000L

    /** Time without a first heartbeat from any worker after which a leader that has just started begins its replay. */
    const val FIRST_HEARTBEATS_QUIET_MS = 300L

    /** Maximum time by which a leader that has just started delays its replay. */
    const val MAX_REPLAY_DELAY_MS = 2_500L

    /** Interval between checks whether the replay may begin. */
    const val REPLAY_DELAY_CHECK_MS = 50L
}
