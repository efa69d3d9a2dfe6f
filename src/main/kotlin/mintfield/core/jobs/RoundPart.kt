package mintfield.core.jobs

/** What changed in one chunk of one job: new plans, tasks that are done, and tasks that wait again. Indices are those of the job. */
class RoundPart(
    val job: String,
    val chunk: Int,
    val plans: List<PlannedGroup>,
    val done: List<Int>,
    val released: List<Int>,
    /** It covers the whole chunk, so that no earlier round is needed for it. */
    val full: Boolean = false,
) {
    /** All tasks that it covers. */
    val indices: List<Int> get() = plans.flatMap { it.indices } + done + released
}
