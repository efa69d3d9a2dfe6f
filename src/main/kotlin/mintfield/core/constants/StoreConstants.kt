package mintfield.core.constants

/** Use of the key-value store within the rates that it permits. */
object StoreConstants {
    /** Milliseconds to wait for a response of the store. */
    const val STORE_TIMEOUT_MS = 1_500L

    /** Milliseconds before a refused or failed call is tried again. */
    const val STORE_RETRY_MS = 250L

    /** Fraction of the permitted writes that the leader's commits may use; the rest is for users' changes. */
    const val LEADER_WRITE_FRACTION = 0.8

    /** The same while users' changes wait at any controller or the store refuses writes as too many. */
    const val LEADER_WRITE_FRACTION_YIELDING = 0.4

    /** Milliseconds for which the leader yields after it was last given a reason to. */
    const val LEADER_YIELD_MS = 2_000L

    /** Bytes of a transaction; the protocol permits 64 KiB in total. */
    const val MAX_TXN_BYTES = 56 * 1024

    /** Milliseconds that the leader's watch of the jobs stays open. It bounds how far its knowledge of cancellations lags behind. */
    const val JOBS_WATCH_MS = 3_000L

    /** Fraction of the permitted requests that a controller may use to check that its replica of the jobs is current. */
    const val FRESHNESS_CHECK_FRACTION = 0.08

    /** Final states kept in memory; others are read from the store on demand. */
    const val MAX_CACHED_FINAL_STATES = 10_000

    /** Milliseconds in which each block of the learned state is written once. */
    const val LEARNED_STATE_INTERVAL_MS = 10_000L

    /** Milliseconds between two such writes, at the least. */
    const val MIN_LEARNED_STATE_INTERVAL_MS = 1_000L

    /** Entries requested in one page of a listing. */
    const val PAGE_ENTRIES = 500
}
