package mintfield.core.constants

/** Election, lease and term of the leader. */
object LeadershipConstants {
    /** Milliseconds that the leader key lives without renewal. A successor must be elected well within a worker's lease. */
    const val LEADER_LEASE_MS = 3_500L

    /** Milliseconds between renewals of the leader's lease: three may fail before it expires. */
    const val LEASE_RENEWAL_INTERVAL_MS = 800L

    /** Milliseconds taken off a lease by its holder, for steps of timers. */
    const val LEASE_MARGIN_MS = 150L

    /** Bound on the relative drift between two steady clocks: twice the protocol's 0.05 %. */
    const val MAX_CLOCK_DRIFT = 0.001

    /** Milliseconds within which candidates spread their first try. */
    const val ELECTION_JITTER_MS = 250L

    /** Milliseconds that a watch of the leader key stays open. */
    const val LEADER_WATCH_MS = 20_000L

    /** Attempt numbers of a term start at the term times this; no term has as many rounds. */
    const val ATTEMPTS_PER_TERM = 65_536L

    /** Milliseconds between two raises of the term, at the least. Each costs a write and a heartbeat of every worker. */
    const val MIN_TERM_RAISE_INTERVAL_MS = 2_000L

    /** Milliseconds after the start for which the clients' port stays closed while no leader is known: longer than an election takes. */
    const val LISTEN_DELAY_WITHOUT_LEADER_MS = 1_500L

    /** Milliseconds between checks whether a leader is known. */
    const val LEADER_KNOWN_CHECK_MS = 20L

    /** Milliseconds after its start from which on a controller runs compiled code, so that a replay need not wait for renewals. */
    const val WARMED_UP_MS = 30_000L

    /** Milliseconds without a worker's first heartbeat after which a leader that has just started replays. */
    const val FIRST_HEARTBEATS_QUIET_MS = 300L

    /** Milliseconds that such a leader delays its replay, at the most. */
    const val MAX_REPLAY_DELAY_MS = 2_500L

    /** Milliseconds between checks whether the replay may begin. */
    const val REPLAY_DELAY_CHECK_MS = 50L
}
