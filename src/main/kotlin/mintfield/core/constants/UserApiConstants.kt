package mintfield.core.constants

/** Parameters of submissions, cancellations, queries and job dependencies. */
object UserApiConstants {
    /** Maximum number of submissions and cancellations that wait at one controller. Further ones are refused at once. */
    const val MAX_WAITING_CHANGES = 256

    /** Maximum time for which a change waits for the store before the user is asked to retry. */
    const val CHANGE_TIMEOUT_MS = 2_500L

    /** Maximum time for which a query waits for a freshness check. The user waits two seconds. */
    const val QUERY_TIMEOUT_MS = 1_700L

    /**
     * Number of writes in a transaction of users' changes that is retried after the store refused it because of its rate limit. It doubles with each
     * success.
     */
    const val MIN_CHANGE_OPS = 2

    /** Fraction of the permitted writes that users' changes at one controller may use. */
    const val CHANGE_WRITE_FRACTION = 0.7

    /** Maximum number of transactions with users' changes that one controller has in flight. */
    const val MAX_CONCURRENT_CHANGES = 2

    /** Duration that is assumed for a job in a dependency graph, as a multiple of its expected run time. The job ends with its slowest task. */
    const val PIPELINE_RUN_FACTOR = 1.3

    /** Time that is assumed for the start of a job in a dependency graph. */
    const val PIPELINE_START_MS = 1_500.0

    /** Time before and after the last moment at which a predecessor can start and be in time, during which it preempts with its inherited priority. */
    const val PIPELINE_CRITICAL_WINDOW_MS = 8_000.0

    /** Interval after which inherited deadlines are recomputed, as run times are learned meanwhile. */
    const val INHERITANCE_REFRESH_MS = 2_000L

    /** Interval between reads of the generations that other controllers run, while one of them is unknown. */
    const val VERSION_RETRY_MS = 1_000L

    /** Time after which a refused user should retry. */
    const val RETRY_AFTER_S = 1
}
