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
 * Decides which commands a worker gets, by comparing its last heartbeat with the plan: stops of tasks that must not be there,
 * acknowledgements of exits that need not be reported any more, and starts of planned tasks that are missing.
 *
 * [HeartbeatReconciler] must have taken in the heartbeat before. Not thread-safe, like the [Cluster] that it works on.
 */
class CommandPlanner(
    private val cluster: Cluster,
    /** Whether users were told that a job is cancelled, whichever shard schedules it. */
    private val isCancelled: (String) -> Boolean = { false },
) {
    /**
     * The commands for [machine] after its last heartbeat. [viaHeartbeat]: they are the response to that heartbeat, and not a direct
     * call. Only a response acknowledges exits and repeats starts: it is dropped when it is late, so that nothing in it can be
     * carried out after a later heartbeat was sent.
     */
    fun commands(
        machine: Machine,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ): List<WorkerCommand> {
        val heartbeat = machine.lastHeartbeat ?: return emptyList()
        if (machine.occupancy.reconciled) {
            if (viaHeartbeat) machine.reachability.recordAnswer(cluster.token(machine), emptyList())
            return emptyList()
        }
        val response = Response(machine, heartbeat, viaHeartbeat, nowMs)
        heartbeat.tasks.forEach(response::addFor)
        val started = response.addStarts()
        if (viaHeartbeat) machine.reachability.recordAnswer(cluster.token(machine), started)
        if (!response.commands.isEmpty) return response.commands.inOrder()
        machine.occupancy.markReconciled(response.leavesNothingToDo())
        return emptyList()
    }

    /** The response to one [heartbeat], as far as it is decided. */
    private inner class Response(
        private val machine: Machine,
        private val heartbeat: Heartbeat,
        private val viaHeartbeat: Boolean,
        private val nowMs: Long,
    ) {
        val commands = PlannedCommands()

        /** Reported tasks that are planned here with the reported attempt, and foreign tasks. */
        private val expected = HashSet<TaskId>(heartbeat.tasks.size * 2)
        private val provesAbsence = heartbeat.provesAbsence(machine)

        /** Adds the stop or the acknowledgement that [status] calls for, if any. */
        fun addFor(status: TaskStatus) {
            val job = cluster.jobs[status.task.job]
            val attempt = job?.attempt(status.task.index)?.takeIf { it.machine === machine && it.number == status.attempt }
            val foreign = if (attempt == null) machine.foreignTasks[status.task] else null
            when {
                foreign != null -> addForForeign(foreign, status)
                attempt != null -> addForPlanned(attempt, status)
                job != null || nowMs - machine.origin.adoptedAtMs >= ShardingConstants.FOREIGN_TASK_GRACE_MS -> addForUnplanned(job, status)
                // On a machine that was handed over lately it may be a foreign task that this leader does not know of yet.
            }
        }

        private fun addForForeign(
            foreign: ForeignTask,
            status: TaskStatus,
        ) {
            expected.add(status.task)
            if (foreign.ended) {
                if (viaHeartbeat && foreign.acknowledgeWanted) commands.add(WorkerCommand.Acknowledge(status.task, status.attempt))
            } else if (foreign.stopWanted || isCancelled(status.task.job)) {
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
            } else if (viaHeartbeat && mayAcknowledge(job, status)) {
                // After an acknowledgement the worker does not know the attempt any more, and a late start would run it again.
                if (provesAbsence) {
                    commands.add(WorkerCommand.Acknowledge(status.task, status.attempt))
                } else if (machine.lease.unacknowledgedTerm >= cluster.token(machine)) {
                    cluster.termRaiseRequested = true
                }
            }
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
            if (attempt.job.cancelled || attempt.incarnation != machine.incarnation) return false
            return attempt.state == AttemptState.PLANNED || (viaHeartbeat && attempt.state == AttemptState.STARTING)
        }

        /** Whether the heartbeat shows exactly what is planned. The same list of tasks then calls for no commands later either. */
        fun leavesNothingToDo(): Boolean =
            machine.foreignTasks.isEmpty &&
                expected.size == machine.attempts.size &&
                expected.size == heartbeat.tasks.size &&
                heartbeat.tasks.none { it.state == TaskState.ENDED }

        /**
         * Seconds that a stopped task of the plan gets to save a checkpoint; 0 to end it at once. A task that has had its time and
         * does not end is stopped without grace.
         */
        private fun graceS(attempt: Attempt): Double {
            val spec = attempt.job.spec
            if (attempt.job.cancelled || spec.checkpointS <= 0) return 0.0
            val fullGraceS = spec.saveS * GRACE_FACTOR
            if (nowMs - attempt.changedAtMs > fullGraceS * TimeUnits.MS_PER_SECOND + GRACE_SLACK_MS) return 0.0
            return if (machine.heartbeats.terminationAtMs == null) fullGraceS else spec.saveS
        }
    }

    /** Whether a worker may forget an exit that is not planned on it. A result may be forgotten only when the store has it. */
    private fun mayAcknowledge(
        job: Job?,
        status: TaskStatus,
    ): Boolean = job == null || job.cancelled || status.cause != ExitReason.DONE || job.progress.isDoneRecorded(status.task.index)

    private companion object {
        /** Times its own estimate that a task may take to save, unless its machine is about to be reclaimed. */
        const val GRACE_FACTOR = 2

        /** Milliseconds beyond its grace after which a stopped task is stopped without grace. */
        const val GRACE_SLACK_MS = 3_000L
    }
}
