package mintfield.history

/** The kinds of requests that users send for a job. */
enum class RequestKind { SUBMIT, POLL, CANCEL }

/** A request of a user and its response; times are in nanoseconds of a monotonic clock. */
data class Operation(
    val job: String,
    val user: String,
    /** Name of the controller that received the request. */
    val controller: String,
    val kind: RequestKind,
    val invokedNanos: Long,
    val respondedNanos: Long,
    val response: JobResponse,
)
