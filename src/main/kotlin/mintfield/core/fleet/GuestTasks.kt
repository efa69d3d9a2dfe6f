package mintfield.core.fleet

import mintfield.core.model.JobSpec
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.TaskId

/** A task on a machine of this leader that another share's leader started there before the machine moved. */
class GuestTask(
    val spec: JobSpec,
    val reported: ReportedTask,
) {
    /** Whether it has ended, so that it takes no room any more. */
    val ended: Boolean get() = reported.state == ReportedState.ENDED

    /** Its leader wants it to stop. */
    var haltWanted = false

    /** When it was first told to stop, in steady milliseconds; 0 if it was not. */
    var haltedSinceMs = 0L

    /** Its leader has recorded its end, so that the worker may forget it. */
    var clearWanted = false
}

/** The guests on one machine, by its last report, and the room that they take. */
class GuestTasks {
    private val tasks = LinkedHashMap<TaskId, GuestTask>()
    var cpus = 0.0
        private set
    var gpus = 0.0
        private set
    var memoryGb = 0.0
        private set

    /** Whether none takes room. */
    val isEmpty: Boolean get() = tasks.values.all { it.ended }

    /** A task that was told to stop before [beforeMs] and has not ended. */
    fun unstopped(beforeMs: Long): GuestTask? = tasks.values.firstOrNull { !it.ended && it.haltedSinceMs in 1 until beforeMs }

    operator fun get(task: TaskId): GuestTask? = tasks[task]

    /** Replaces what was known by what a newer report shows; what is wanted of a task that is still there stays wanted. */
    fun replace(found: List<GuestTask>) {
        if (found.isEmpty() && tasks.isEmpty()) return
        for (guest in found) {
            val before = tasks[guest.reported.task]?.takeIf { it.reported.attempt == guest.reported.attempt } ?: continue
            guest.haltWanted = before.haltWanted
            guest.clearWanted = before.clearWanted
            guest.haltedSinceMs = before.haltedSinceMs
        }
        tasks.clear()
        found.associateByTo(tasks) { it.reported.task }
        val running = found.filter { !it.ended }
        cpus = running.sumOf { it.spec.cpus }
        gpus = running.sumOf { it.spec.gpus }
        memoryGb = running.sumOf { it.spec.memoryGb }
    }
}
