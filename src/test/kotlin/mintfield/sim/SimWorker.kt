package mintfield.sim

import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand

/**
 * A worker that keeps to the protocol: fencing tokens, incarnations, lease and commands. It sends nothing by itself; its
 * owner lets time pass with [step] and carries its messages. All times are in milliseconds of the owner's clock.
 */
class SimWorker(
    val id: String,
    val zone: String,
    val spot: Boolean,
    private var nowMs: Long,
    private val leaseMs: Long,
    /** Milliseconds that its tasks run beyond their usual time. */
    private val extraRunTimeMs: Long = 0,
    /** Tasks that fit it at the same time. */
    private val slots: Int = 4,
    private val onStart: (SimWorker, TaskId) -> Unit,
) {
    /** A task that it runs, or that has ended and is not acknowledged yet. */
    class HeldTask(
        val attempt: Long,
        state: TaskState,
        exitReason: ExitReason?,
        val endsAtMs: Long,
    ) {
        var state = state
            private set

        /** Why it ended; null while it runs. */
        var exitReason = exitReason
            private set

        /** Ends it for [reason]. */
        fun end(reason: ExitReason) {
            state = TaskState.ENDED
            exitReason = reason
        }
    }

    private var sequence = 0L
    private var renewedAtMs = nowMs
    private val heldTasks = LinkedHashMap<TaskId, HeldTask>()

    /** The count of its leases; it rises when one expires, and all tasks end with it. */
    var incarnation = 1L
        private set

    /** The highest fencing token that it has seen. */
    var term = 0L
        private set

    /** False once the machine is gone. */
    var alive = true

    /** Tasks that it lost because its lease expired. */
    var tasksLostWithLease = 0
        private set

    /** Until then it neither sends nor answers, and its tasks make no progress. */
    var hungUntilMs = 0L

    /** Until then nothing that is sent to it arrives, though its heartbeats do. */
    var unreachableUntilMs = 0L

    /** Until then it reaches no controller, though commands reach it. */
    var heartbeatsLostUntilMs = 0L

    /** When its next heartbeat is due. */
    var nextHeartbeatAtMs = nowMs

    /** When it sent the heartbeat whose answer it awaits; -1 for none. */
    var awaitingAnswerSinceMs = -1L

    /** What it holds, by task, in the order of the starts. */
    val tasks: Map<TaskId, HeldTask> get() = heldTasks

    val hung get() = nowMs < hungUntilMs
    val unreachable get() = nowMs < unreachableUntilMs
    val losesHeartbeats get() = nowMs < heartbeatsLostUntilMs

    /** Tasks that have not ended and so occupy this machine. */
    fun activeTasks(): List<TaskId> = if (alive) heldTasks.filter { it.value.state != TaskState.ENDED }.keys.toList() else emptyList()

    /** Sets its clock to [timeMs]: the lease may expire, and tasks may complete. */
    fun step(timeMs: Long) {
        nowMs = timeMs
        if (!alive) return
        if (nowMs - renewedAtMs > leaseMs) startIncarnation()
        if (hung) return
        for (task in heldTasks.values) {
            if (task.state == TaskState.RUNNING && nowMs >= task.endsAtMs) task.end(ExitReason.DONE)
        }
    }

    private fun startIncarnation() {
        tasksLostWithLease += heldTasks.size
        heldTasks.clear()
        incarnation++
        renewedAtMs = nowMs
        awaitingAnswerSinceMs = -1
    }

    /** Its status, under the next sequence number. */
    fun heartbeat(): Heartbeat {
        sequence++
        return Heartbeat(
            machine = id,
            address = "$id:1",
            type = "box",
            zone = zone,
            spot = spot,
            incarnation = incarnation,
            sequence = sequence,
            termSeen = term,
            terminationNoticeS = null,
            tasks = heldTasks.map { (id, task) -> TaskStatus(id, task.attempt, task.state, task.exitReason) },
        )
    }

    /** Takes the answer to the heartbeat that it sent at [sentAtMs] in [sentIncarnation]. */
    fun answered(
        answerTerm: Long,
        commands: List<WorkerCommand>,
        sentAtMs: Long,
        sentIncarnation: Long,
    ) {
        if (!alive || sentIncarnation != incarnation || answerTerm < term) return
        term = answerTerm
        renewedAtMs = maxOf(renewedAtMs, sentAtMs)
        commands.forEach(::execute)
    }

    /** Takes a direct command and returns its status, or null if the machine is gone. */
    fun commanded(
        commandTerm: Long,
        commandIncarnation: Long,
        commands: List<WorkerCommand>,
    ): Heartbeat? {
        if (!alive) return null
        if (commandTerm >= term && commandIncarnation == incarnation) {
            term = commandTerm
            commands.forEach(::execute)
        }
        return heartbeat()
    }

    private fun execute(command: WorkerCommand) {
        when (command) {
            is WorkerCommand.Start -> start(command)
            is WorkerCommand.Stop -> {
                val task = heldTasks[command.task] ?: return
                if (task.attempt == command.attempt && task.state != TaskState.ENDED) task.end(ExitReason.STOPPED)
            }
            is WorkerCommand.Acknowledge -> {
                val task = heldTasks[command.task] ?: return
                if (task.attempt == command.attempt && task.state == TaskState.ENDED) heldTasks.remove(command.task)
            }
        }
    }

    private fun start(command: WorkerCommand.Start) {
        val id = command.task
        if (id in heldTasks) return
        if (activeTasks().size >= slots) {
            heldTasks[id] = HeldTask(command.attempt, TaskState.ENDED, ExitReason.INSUFFICIENT_RESOURCES, 0)
            return
        }
        val runTimeMs = extraRunTimeMs + SHORTEST_RUN_MS + id.index % RUN_TIMES * RUN_TIME_STEP_MS
        heldTasks[id] = HeldTask(command.attempt, TaskState.RUNNING, null, nowMs + runTimeMs)
        onStart(this, id)
    }

    private companion object {
        /** Milliseconds that a task runs at the least; by its number it runs longer by up to [RUN_TIMES] - 1 steps. */
        const val SHORTEST_RUN_MS = 3_000L
        const val RUN_TIME_STEP_MS = 700L
        const val RUN_TIMES = 7
    }
}
