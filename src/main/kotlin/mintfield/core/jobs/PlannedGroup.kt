package mintfield.core.jobs

/** The tasks of one job that are planned on one machine with the same attempt number, as a round record holds them. */
data class PlannedGroup(
    val machine: String,
    /** The worker's incarnation in which they were planned. */
    val incarnation: Long,
    val attempt: Long,
    /** Numbers of the tasks within the job. */
    val indices: List<Int>,
)
