package mintfield.history

/** The ways in which a history of user requests can fail to be linearizable. */
enum class Anomaly {
    /** A request observed an older state than a response received before its invocation. */
    STALE_STATE,

    /** One response reports a job as done and another reports it as cancelled. */
    CONFLICTING_FINAL_STATES,

    /** A response reports a job as cancelled before any user has requested its cancellation. */
    CANCELLED_UNREQUESTED,

    /** A response reports a job as done before all of its tasks have completed. */
    DONE_BEFORE_COMPLETION,
}
