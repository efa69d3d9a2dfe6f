package mintfield.history

/** What a linearizable history of users' requests cannot show. */
enum class Anomaly {
    /** A request observed an older state than some response before its invocation. */
    STALE_STATE,

    /** A job was done in one response and cancelled in another. */
    CONFLICTING_FINAL_STATES,

    /** A job was cancelled in a response before any user had requested its cancellation. */
    CANCELLED_UNREQUESTED,

    /** A job was done in a response before all of its tasks had completed. */
    DONE_BEFORE_COMPLETION,
}
