package mintfield.history

/** A worker accepted a command with [token]; it stopped tasks of [stoppedJobs]. */
data class AcceptedToken(
    val machine: String,
    val token: Long,
    val atNanos: Long,
    val stoppedJobs: List<String> = emptyList(),
)
