package mintfield.history

/** The acceptance of a command with the fencing token [token] by a worker; the command stopped tasks of [stoppedJobs]. */
data class AcceptedToken(
    val machine: String,
    val token: Long,
    val atNanos: Long,
    val stoppedJobs: List<String> = emptyList(),
)
