package mintfield.core.jobs

/** Changes in one chunk of one job: new plans, done tasks, and tasks that wait again. Task indices count from the start of the job. */
class RoundPart(
    val job: String,
    val chunk: Int,
    val plans: List<PlannedGroup>,
    val done: List<Int>,
    val released: List<Int>,
    /** Whether the part covers the whole chunk, so that no earlier round record is needed for the chunk. */
    val full: Boolean = false,
) {
    /** Indices of all tasks covered by the part. */
    val indices: List<Int> get() = plans.flatMap { it.indices } + done + released
}
