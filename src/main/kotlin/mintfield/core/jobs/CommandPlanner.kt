package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.ShardingConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.fleet.ForeignTask
import mintfield.core.fleet.Machine
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.model.WorkerCommand

/**
 * Decides which commands a worker gets by comparing its last heartbeat with the plan: stops of tasks that are not planned on it,
 * acknowledgements of exits that it no longer needs to report, and starts of planned tasks that are missing.
 *
 * [HeartbeatReconciler] must have processed the heartbeat first. Not thread-safe, like [Cluster].
 */
class CommandPlanner(
    private val cluster: Cluster,
    /** Whether the cancellation of the job with this id was confirmed to the user, whichever shard schedules the job. */
    private val isCancelled: (String) -> Boolean,
    private val log: (String) -> Unit,
) {
    /**
     * The commands for [machine] after its last heartbeat. [viaHeartbeat]: whether they are sent in the response to the heartbeat, as
     * opposed to a direct call. Exits are acknowledged and starts are repeated only in a response: workers drop a late response, so
     * none of its commands can be carried out after a later heartbeat was sent.
     */
    fun commands(
        machine: Machine,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ): List<WorkerCommand> {
        val heartbeat = machine.lastHeartbeat ?: return emptyList()
        if (viaHeartbeat && machine.lease.hasUnansweredStart) refusesDirectStarts(machine)
        if (machine.occupancy.reconciled) {
            if (viaHeartbeat) machine.reachability.recordResponse(machine.lease.requiredTerm, emptyList())
            return emptyList()
        }
        val builder = CommandListBuilder(machine, heartbeat, viaHeartbeat, nowMs)
        heartbeat.tasks.forEach(builder::addForReported)
        val started = builder.addStarts()
        builder.reportUnplannedTasks()
        if (viaHeartbeat) machine.reachability.recordResponse(machine.lease.requiredTerm, started)
        if (!builder.commands.isEmpty) return builder.commands.inOrder()
        machine.occupancy.markReconciled(builder.heartbeatMatchesPlan())
        return emptyList()
    }

    /** Collects the commands that one [heartbeat] of [machine] requires. */
    private inner class CommandListBuilder(
        private val machine: Machine,
        private val heartbeat: Heartbeat,
        private val viaHeartbeat: Boolean,
        private val nowMs: Long,
    ) {
        val commands = PlannedCommands()

        /** Reported tasks that are either planned on the machine with the reported attempt, or foreign. */
        private val expected = HashSet<TaskId>(heartbeat.tasks.size * 2)

        /** Tasks that the worker reports as active although they are not planned on the machine. */
        private val unplanned = ArrayList<TaskStatus>()

        /** Adds the stop or the acknowledgement that [status] requires, if any. */
        fun addForReported(status: TaskStatus) {
            val job = cluster.jobs[status.task.job]
            val attempt = job?.attempt(status.task.index)?.takeIf { it.machine === machine && it.number == status.attempt }
            val foreign = if (attempt == null) machine.foreignTasks[status.task] else null
            when {
                foreign != null -> addForForeign(foreign, status)
                attempt != null -> addForPlanned(attempt, status)
                job != null || nowMs - machine.origin.adoptedAtMs >= ShardingConstants.FOREIGN_TASK_GRACE_MS -> addForUnplanned(job, status)
                // On a recently adopted machine, it may be a foreign task of which this leader has not been notified yet.
            }
        }

        private fun addForForeign(
            foreign: ForeignTask,
            status: TaskStatus,
        ) {
            expected.add(status.task)
            if (foreign.ended) {
                if (viaHeartbeat && foreign.acknowledgeRequested) commands.add(WorkerCommand.Acknowledge(status.task, status.attempt))
            } else if (foreign.stopRequested || isCancelled(status.task.job)) {
                foreign.stopSent(nowMs)
                commands.add(WorkerCommand.Stop(status.task, status.attempt, graceS = 0.0))
            }
        }

        private fun addForPlanned(
            attempt: Attempt,
            status: TaskStatus,
        ) {
            expected.add(status.task)
            if (status.state != TaskState.ENDED && attempt.state == AttemptState.STOPPING) {
                commands.add(WorkerCommand.Stop(status.task, status.attempt, graceS(attempt)))
            }
        }

        private fun addForUnplanned(
            job: Job?,
            status: TaskStatus,
        ) {
            if (status.state != TaskState.ENDED) {
                commands.add(WorkerCommand.Stop(status.task, status.attempt, graceS = 0.0))
                unplanned.add(status)
            } else if (viaHeartbeat && mayAcknowledge(job, status) && refusesDirectStarts(machine)) {
                commands.add(WorkerCommand.Acknowledge(status.task, status.attempt))
            }
        }

        /** Counts and logs the unplanned tasks: they show that a start was carried out that this leader had not planned or had released. */
        fun reportUnplannedTasks() {
            if (unplanned.isEmpty()) return
            cluster.commandCounters.unplannedTasksReported(unplanned.size)
            val named = unplanned.take(MAX_LOGGED_TASKS).joinToString { "${it.task} attempt ${it.attempt}" }
            log("${machine.id}: reports ${unplanned.size} tasks that are not planned there, to be stopped: $named")
        }

        /** Adds the starts that are due, marks them as sent and returns their attempts. */
        fun addStarts(): List<Attempt> {
            if (!cluster.ownership.mayStart(machine.id)) return emptyList()
            val started = ArrayList<Attempt>()
            for (attempt in machine.attempts) {
                val task = cluster.taskId(attempt)
                if (task in expected || !isStartDue(attempt)) continue
                commands.add(WorkerCommand.Start(task, attempt.number))
                started.add(attempt)
                attempt.startSent = true
                if (attempt.state == AttemptState.PLANNED) attempt.moveTo(AttemptState.STARTING, nowMs)
            }
            return started
        }

        private fun isStartDue(attempt: Attempt): Boolean {
            if (!attempt.mayStart || attempt.incarnation != machine.incarnation) return false
            return attempt.state == AttemptState.PLANNED || (viaHeartbeat && attempt.state == AttemptState.STARTING)
        }

        /** Whether the heartbeat shows exactly the planned tasks. If so, an unchanged list of tasks requires no commands later either. */
        fun heartbeatMatchesPlan(): Boolean =
            machine.foreignTasks.isEmpty &&
                expected.size == machine.attempts.size &&
                expected.size == heartbeat.tasks.size &&
                heartbeat.tasks.none { it.state == TaskState.ENDED }

        /**
         * Grace period in seconds in which a stopped planned task may save a checkpoint; 0 to end it at once. A task that does not end
         * within its grace period is stopped without grace.
         */
        private fun graceS(attempt: Attempt): Double {
            val spec = attempt.job.spec
            if (attempt.job.cancelled || spec.checkpointS <= 0) return 0.0
            val fullGraceS = spec.saveS * GRACE_FACTOR
            if (nowMs - attempt.changedAtMs > fullGraceS * TimeUnits.MS_PER_SECOND + GRACE_SLACK_MS) return 0.0
            return if (machine.heartbeats.terminationAtMs == null) fullGraceS else spec.saveS
        }
    }

    /**
     * Whether the worker of [machine] refuses late copies of all direct starts once it has received the response, whose token is raised if
     * need be. Otherwise it must not forget attempts: the copy of the start of a forgotten attempt would run it again.
     */
    private fun refusesDirectStarts(machine: Machine) = !machine.directRoute.inFlight && cluster.tokens.fenceDirectStarts(machine)

    /** Whether a worker may forget the exit of a task that is not planned on it. A success may be forgotten only once the store records it. */
    private fun mayAcknowledge(
        job: Job?,
        status: TaskStatus,
    ): Boolean = job == null || job.cancelled || status.cause != ExitReason.DONE || job.progress.isDoneRecorded(status.task.index)

    private companion object {
        /** Multiple of its own estimate that a task gets to save a checkpoint, unless its machine is about to be reclaimed. */
        const val GRACE_FACTOR = 2

        /** Milliseconds after the end of its grace period from which on a task is stopped without grace. */
        const val GRACE_SLACK_MS = 3_000L

        /** Maximum number of tasks named in one log line. */
        const val MAX_LOGGED_TASKS = 3
    }
}
