package mintfield.sim

import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand

/**
 * A simulated worker that implements the worker protocol: fencing tokens, incarnations, the lease and commands. It sends nothing
 * by itself: its owner advances its clock with [step] and delivers its messages. All times are milliseconds of the owner's clock.
 */
class SimWorker(
    val id: String,
    val zone: String,
    val spot: Boolean,
    private var nowMs: Long,
    private val leaseMs: Long,
    /** Milliseconds by which tasks run longer than their usual time. */
    private val extraRunTimeMs: Long = 0,
    /** Maximum number of tasks that run at the same time. */
    var slots: Int = 4,
    private val onStart: (SimWorker, TaskId) -> Unit,
) {
    /** A task that runs on the worker, or that has ended and is not acknowledged yet. */
    class HeldTask(
        val attempt: Long,
        state: TaskState,
        exitReason: ExitReason?,
        val endsAtMs: Long,
        /** Why the task ends at [endsAtMs]. */
        val outcome: ExitReason = ExitReason.DONE,
    ) {
        var state = state
            private set

        /** Why the task ended; null while it runs. */
        var exitReason = exitReason
            private set

        /** Ends the task for [reason]. */
        fun end(reason: ExitReason) {
            state = TaskState.ENDED
            exitReason = reason
        }
    }

    private var sequence = 0L
    private var renewedAtMs = nowMs
    private val heldTasks = LinkedHashMap<TaskId, HeldTask>()

    /** Number of the current lease. It increases when the lease expires, which also ends all tasks. */
    var incarnation = 1L
        private set

    /** The highest fencing token received so far. */
    var term = 0L
        private set

    /** False once the machine has been released or lost. */
    var alive = true

    /** Number of tasks lost because the lease expired. */
    var tasksLostWithLease = 0
        private set

    /** Until this time the worker neither sends nor responds, and its tasks make no progress. */
    var hungUntilMs = 0L

    /** Until this time the worker receives no messages, but its heartbeats arrive. */
    var unreachableUntilMs = 0L

    /** Until this time the worker reaches no controller, but receives commands. */
    var heartbeatsLostUntilMs = 0L

    /** Until this time each task that starts fails after [FAILURE_AFTER_MS]. */
    var failsTasksUntilMs = 0L

    /** When the next heartbeat is due. */
    var nextHeartbeatAtMs = nowMs

    /** When the heartbeat that awaits a response was sent; -1 for none. */
    var awaitingResponseSinceMs = -1L

    /** Tasks that run or are not acknowledged yet, in the order of their starts. */
    val tasks: Map<TaskId, HeldTask> get() = heldTasks

    val hung get() = nowMs < hungUntilMs
    val unreachable get() = nowMs < unreachableUntilMs
    val losesHeartbeats get() = nowMs < heartbeatsLostUntilMs

    /** Tasks that have not ended and therefore occupy the machine. */
    fun activeTasks(): List<TaskId> = if (alive) heldTasks.filter { it.value.state != TaskState.ENDED }.keys.toList() else emptyList()

    /** Advances the clock to [timeMs]; the lease may expire, and tasks may complete. */
    fun step(timeMs: Long) {
        nowMs = timeMs
        if (!alive) return
        if (nowMs - renewedAtMs > leaseMs) startIncarnation()
        if (hung) return
        for (task in heldTasks.values) {
            if (task.state == TaskState.RUNNING && nowMs >= task.endsAtMs) task.end(task.outcome)
        }
    }

    private fun startIncarnation() {
        tasksLostWithLease += heldTasks.size
        heldTasks.clear()
        incarnation++
        renewedAtMs = nowMs
        awaitingResponseSinceMs = -1
    }

    /** Creates a heartbeat with the next sequence number. */
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

    /** Processes the response to the heartbeat sent at [sentAtMs] in [sentIncarnation]; ignores it if its term or incarnation is outdated. */
    fun receiveResponse(
        responseTerm: Long,
        commands: List<WorkerCommand>,
        sentAtMs: Long,
        sentIncarnation: Long,
    ) {
        if (!alive || sentIncarnation != incarnation || responseTerm < term) return
        term = responseTerm
        renewedAtMs = maxOf(renewedAtMs, sentAtMs)
        commands.forEach(::execute)
    }

    /** Executes direct commands if their term and incarnation are current. Returns a heartbeat, or null if the machine was released or lost. */
    fun receiveCommands(
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
        heldTasks[id] =
            if (nowMs < failsTasksUntilMs) {
                HeldTask(command.attempt, TaskState.RUNNING, null, nowMs + FAILURE_AFTER_MS, ExitReason.ERROR)
            } else {
                val runTimeMs = extraRunTimeMs + MIN_RUN_MS + id.index % RUN_TIME_COUNT * RUN_TIME_STEP_MS
                HeldTask(command.attempt, TaskState.RUNNING, null, nowMs + runTimeMs)
            }
        onStart(this, id)
    }

    private companion object {
        /** Minimum milliseconds that a task runs; depending on its index it runs up to [RUN_TIME_COUNT] - 1 steps longer. */
        const val MIN_RUN_MS = 3_000L
        const val RUN_TIME_STEP_MS = 700L
        const val RUN_TIME_COUNT = 7

        /** Milliseconds that a task runs before it fails. */
        const val FAILURE_AFTER_MS = 1_200L
    }
}
