package mintfield.core.constants

/** Limits that keep the use of the key-value store within its permitted rates. */
object StoreConstants {
    /** Timeout for a response from the store. */
    const val STORE_TIMEOUT_MS = 1_500L

    /** Delay before a refused or failed call is retried. */
    const val STORE_RETRY_MS = 250L

    /** Fraction of the permitted writes that the leader's commits may use. The rest is for users' changes. */
    const val LEADER_WRITE_FRACTION = 0.8

    /**
     * Fraction of the permitted writes that the leader's commits may use while it yields to users' changes: they wait at some controller, or the
     * store refuses writes because of its rate limit.
     */
    const val LEADER_WRITE_FRACTION_YIELDING = 0.4

    /** Time for which the leader continues to yield after the last reason to do so. */
    const val LEADER_YIELD_MS = 2_000L

    /** Maximum size of a transaction. The protocol permits 64 KiB in total. */
    const val MAX_TXN_BYTES = 56 * 1024

    /** Time for which the leader's watch of the jobs stays open. It bounds how far its knowledge of cancellations lags behind. */
    const val JOBS_WATCH_MS = 3_000L

    /** Fraction of the permitted requests that a controller may use to check that its replica of the jobs is current. */
    const val FRESHNESS_CHECK_FRACTION = 0.08

    /** Maximum number of final states kept in memory. Others are read from the store on demand. */
    const val MAX_CACHED_FINAL_STATES = 10_000

    /** Period in which each block of the learned state is written once. */
    const val LEARNED_STATE_INTERVAL_MS = 10_000L

    /** Minimum time between two writes of blocks of the learned state. */
    const val MIN_LEARNED_STATE_INTERVAL_MS = 1_000L

    /** Number of entries requested in one page of a listing. */
    const val PAGE_ENTRIES = 500
}
