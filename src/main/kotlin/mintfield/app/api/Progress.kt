package mintfield.app.api

/** The progress of a job, for display. */
class Progress(
    /** Number of done tasks. */
    val done: Int,
    /** Number of running tasks. */
    val running: Int,
)
