package mintfield.core.fleet

import mintfield.core.model.TaskId

/** The foreign tasks on one machine, by its newest heartbeat. */
class ForeignTasks {
    private val tasks = LinkedHashMap<TaskId, ForeignTask>()

    /** Whether none takes room. */
    val isEmpty: Boolean get() = tasks.values.all { it.ended }

    /** A task that the worker was told to stop before [beforeMs] and that has not ended; null if there is none. */
    fun notStopped(beforeMs: Long): ForeignTask? = tasks.values.firstOrNull { !it.ended && it.stopSentAtMs in 1 until beforeMs }

    /** The foreign task [task], or null if the newest heartbeat does not show it. */
    operator fun get(task: TaskId): ForeignTask? = tasks[task]

    /** Replaces what was known by [found], which a newer heartbeat shows. What is wanted of a task that is still there stays wanted. */
    internal fun replace(found: List<ForeignTask>) {
        for (foreign in found) {
            val earlier = tasks[foreign.status.task] ?: continue
            if (earlier.status.attempt == foreign.status.attempt) foreign.carryOver(earlier)
        }
        tasks.clear()
        found.associateByTo(tasks) { it.status.task }
    }
}
