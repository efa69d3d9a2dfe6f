package mintfield.history

/** The kinds of requests that a user makes about a job. */
enum class RequestKind { SUBMIT, POLL, CANCEL }

/** One request of one user, with the steady times of its invocation and of its response. */
data class Operation(
    val job: String,
    val user: String,
    /** Name of the controller that was asked. */
    val controller: String,
    val kind: RequestKind,
    val invokedNanos: Long,
    val respondedNanos: Long,
    val answer: Answer,
)
