package mintfield.core.fleet

import mintfield.core.model.TaskId

/** The foreign tasks on one machine according to its newest heartbeat. */
class ForeignTasks {
    private val tasks = LinkedHashMap<TaskId, ForeignTask>()

    /** Whether no foreign task occupies capacity: there is none, or all have ended. */
    val isEmpty: Boolean get() = tasks.values.all { it.ended }

    /** Returns a task that has not ended although a stop command was sent before [beforeMs], or null if there is none. */
    fun findUnstopped(beforeMs: Long): ForeignTask? = tasks.values.firstOrNull { !it.ended && it.stopSentAtMs in 1 until beforeMs }

    /** Returns the foreign task [task], or null if the newest heartbeat does not list it. */
    operator fun get(task: TaskId): ForeignTask? = tasks[task]

    /** Replaces all foreign tasks by [found], from a newer heartbeat. Requests to stop or acknowledge an attempt that is still listed are kept. */
    internal fun replace(found: List<ForeignTask>) {
        for (foreign in found) {
            val earlier = tasks[foreign.status.task] ?: continue
            if (earlier.status.attempt == foreign.status.attempt) foreign.copyRequestsFrom(earlier)
        }
        tasks.clear()
        found.associateByTo(tasks) { it.status.task }
    }
}
