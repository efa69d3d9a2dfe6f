package mintfield.core.jobs

/** Entry of a round record: the tasks of one job that are planned on one machine with the same attempt number. */
data class PlannedGroup(
    val machine: String,
    /** The worker's incarnation for which they were planned. */
    val incarnation: Long,
    val attempt: Long,
    /** Numbers of the tasks within the job. */
    val indices: List<Int>,
)
