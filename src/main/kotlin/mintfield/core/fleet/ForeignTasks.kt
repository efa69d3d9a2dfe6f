package mintfield.core.fleet

import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus

/** A task on a machine of this leader that another share's leader started there before the machine moved. */
class ForeignTask(
    val spec: JobSpec,
    val status: TaskStatus,
) {
    /** Whether it has ended, so that it takes no room any more. */
    val ended: Boolean get() = status.state == TaskState.ENDED

    /** Its leader wants it to stop. */
    var stopWanted = false

    /** When it was first told to stop, in steady milliseconds; 0 if it was not. */
    var stopSentAtMs = 0L

    /** Its leader has recorded its end, so that the worker may forget it. */
    var acknowledgeWanted = false
}

/** The foreign tasks on one machine, by its last heartbeat, and the room that they take. */
class ForeignTasks {
    private val tasks = LinkedHashMap<TaskId, ForeignTask>()
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set

    /** Whether none takes room. */
    val isEmpty: Boolean get() = tasks.values.all { it.ended }

    /** A task that was told to stop before [beforeMs] and has not ended. */
    fun notStopped(beforeMs: Long): ForeignTask? = tasks.values.firstOrNull { !it.ended && it.stopSentAtMs in 1 until beforeMs }

    operator fun get(task: TaskId): ForeignTask? = tasks[task]

    /** Replaces what was known by what a newer heartbeat shows; what is wanted of a task that is still there stays wanted. */
    fun replace(found: List<ForeignTask>) {
        if (found.isEmpty() && tasks.isEmpty()) return
        for (foreign in found) {
            val before = tasks[foreign.status.task]?.takeIf { it.status.attempt == foreign.status.attempt } ?: continue
            foreign.stopWanted = before.stopWanted
            foreign.acknowledgeWanted = before.acknowledgeWanted
            foreign.stopSentAtMs = before.stopSentAtMs
        }
        tasks.clear()
        found.associateByTo(tasks) { it.status.task }
        val running = found.filter { !it.ended }
        cpus = running.sumOf { it.spec.cpus }
        gpus = running.sumOf { it.spec.gpus }
        memoryGb = running.sumOf { it.spec.memoryGb }
    }
}
