package mintfield.app.api

/** The progress of a job, for display. */
class Progress(
    /** Number of its tasks that are done. */
    val done: Int,
    /** Number of its tasks that run. */
    val running: Int,
)
