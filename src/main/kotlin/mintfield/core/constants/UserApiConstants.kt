package mintfield.core.constants

/** Submissions, cancellations and queries of users, and job dependencies. */
object UserApiConstants {
    /** Submissions and cancellations that may wait at one controller; more are refused at once. */
    const val MAX_WAITING_CHANGES = 256

    /** Milliseconds that a change may wait for the store before its user is asked to come back. */
    const val CHANGE_TIMEOUT_MS = 2_500L

    /** Milliseconds that a query may wait for a freshness check; its user waits two seconds. */
    const val QUERY_TIMEOUT_MS = 1_700L

    /** Writes in a transaction of users' changes that is retried after the store refused it as too many; doubles with each success. */
    const val MIN_CHANGE_OPS = 2

    /** Fraction of the permitted writes that users' changes at one controller may use. */
    const val CHANGE_WRITE_FRACTION = 0.7

    /** Transactions with users' changes that one controller has in flight at once. */
    const val MAX_CONCURRENT_CHANGES = 2

    /** Times its expected run time that a job in a dependency graph is given, as its slowest task ends it. */
    const val PIPELINE_RUN_FACTOR = 1.3

    /** Milliseconds that such a job is given to start. */
    const val PIPELINE_START_MS = 1_500.0

    /** Milliseconds around the last moment at which a predecessor can begin and be in time, within which it preempts with its inherited priority. */
    const val PIPELINE_CRITICAL_WINDOW_MS = 8_000.0

    /** Milliseconds after which inherited deadlines are computed anew, as run times are learned meanwhile. */
    const val INHERITANCE_REFRESH_MS = 2_000L

    /** Milliseconds between two reads of the generations that other controllers run, while one is unknown. */
    const val VERSION_RETRY_MS = 1_000L

    /** Seconds after which a refused user should come back. */
    const val RETRY_AFTER_S = 1
}
