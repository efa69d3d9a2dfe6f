package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.WorkerConstants
import mintfield.core.fleet.ForeignTask
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ReachabilityState
import mintfield.core.model.ExitReason
import mintfield.core.model.Heartbeat
import mintfield.core.model.Shape
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus

/**
 * Reconciles the plan with the heartbeats of workers: moves attempts to the reported states, records results, and releases attempts
 * that are proven to have ended. [CommandPlanner] decides on the commands to send in response.
 *
 * Not thread-safe, like [Cluster], which it modifies.
 */
class HeartbeatReconciler(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Receives each success and failure of a task. */
    val failureAttribution = FailureAttribution(cluster, log)

    /**
     * Processes [heartbeat], received at [nowMs] (milliseconds of monotonic time). Returns false and changes nothing if it is not newer than the
     * last one of [machine].
     *
     * [viaHeartbeat]: whether the worker sent it unprompted, as opposed to in a response to a direct call. Only an unprompted heartbeat
     * proves that the starts in the response to the previous one were either carried out or dropped.
     */
    fun reconcile(
        machine: Machine,
        heartbeat: Heartbeat,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ): Boolean {
        if (!machine.heartbeats.isSucceededBy(heartbeat)) return false
        updateReachability(machine, heartbeat, viaHeartbeat, nowMs)
        if (heartbeat.incarnation > machine.incarnation) startIncarnation(machine, heartbeat, nowMs)
        // Decoders reuse the instance of an unchanged list of tasks, so an identical list is not reconciled twice.
        val unchanged = machine.occupancy.reconciled && heartbeat.tasks === machine.lastHeartbeat?.tasks
        update(machine, heartbeat, nowMs)
        if (unchanged) return true
        machine.occupancy.markReconciled(false)
        reconcileTasks(machine, heartbeat, viaHeartbeat, nowMs)
        return true
    }

    private fun updateReachability(
        machine: Machine,
        heartbeat: Heartbeat,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ) {
        val changed =
            if (viaHeartbeat) {
                machine.heartbeats.recordUnprompted(nowMs)
                val leaseMs = (cluster.settings.leaseS * TimeUnits.MS_PER_SECOND).toLong()
                machine.reachability.onHeartbeat(machine.heartbeats, heartbeat, leaseMs, nowMs)
            } else {
                machine.reachability.confirmDelivery(nowMs)
            }
        if (changed) reachabilityChanged(machine, nowMs)
    }

    private fun reachabilityChanged(
        machine: Machine,
        nowMs: Long,
    ) {
        val reachability = machine.reachability
        if (reachability.state == ReachabilityState.UNREACHABLE) {
            log("${machine.id}: unreachable: its heartbeats arrive but responses to it are lost; no new tasks are placed there")
        }
        if (reachability.state == ReachabilityState.REACHABLE && reachability.episodes > 0) {
            val doublings = minOf(reachability.episodes, WorkerConstants.MAX_REACHABLE_BACKOFF_DOUBLINGS)
            val backoffMs = WorkerConstants.REACHABLE_BACKOFF_MS shl doublings
            machine.failureRecord.backOffUntil(nowMs + backoffMs)
            log("${machine.id}: reachable again, no new tasks for $backoffMs ms")
        }
    }

    /** Starts a new incarnation: the worker's lease has expired, and with it all tasks on the machine have ended. */
    private fun startIncarnation(
        machine: Machine,
        heartbeat: Heartbeat,
        nowMs: Long,
    ) {
        val incarnation = heartbeat.incarnation
        machine.attempts
            .filter { it.incarnation < incarnation }
            .forEach { cluster.release(it, nowMs, "incarnation $incarnation started") }
        if (machine.incarnation != 0L) log("${machine.id}: lease expired, incarnation $incarnation started, its tasks are lost")
        machine.heartbeats.startIncarnation(incarnation)
        machine.lease.restart(nowMs)
    }

    private fun update(
        machine: Machine,
        heartbeat: Heartbeat,
        nowMs: Long,
    ) {
        machine.heartbeats.record(heartbeat, nowMs)
        machine.occupancy.replaceForeignTasks(foreignTasks(heartbeat))
        if (machine.state == MachineState.PROVISIONING || machine.state == MachineState.UNRESPONSIVE) machine.moveTo(MachineState.UP, nowMs)
    }

    private fun foreignTasks(heartbeat: Heartbeat): List<ForeignTask> =
        heartbeat.tasks.mapNotNull { status ->
            if (status.task.job in cluster.jobs) return@mapNotNull null
            cluster.ownership.foreignSpec(status.task.job)?.let { ForeignTask(it, status) }
        }

    private fun reconcileTasks(
        machine: Machine,
        heartbeat: Heartbeat,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ) {
        val reported = HashMap<TaskId, TaskStatus>(heartbeat.tasks.size * 2)
        heartbeat.tasks.forEach { reported[it.task] = it }
        val provesAbsence = heartbeat.provesAbsence(machine)
        for (attempt in machine.attempts.toList()) {
            val status = reported[cluster.taskId(attempt)]
            if (status != null && status.attempt == attempt.number) {
                if (status.provesItself(machine, heartbeat)) reconcileReported(attempt, status, nowMs)
            } else if (viaHeartbeat) {
                reconcileMissing(attempt, provesAbsence, nowMs)
            }
        }
        for (status in heartbeat.tasks) {
            if (status.state == TaskState.ENDED && status.cause == ExitReason.DONE) recordCompletion(status, nowMs)
        }
    }

    /**
     * Whether the status may be relied on. A late copy of a heartbeat from before the election may show an end, other than a success,
     * after which an earlier leader had the worker forget the attempt and start it again.
     */
    private fun TaskStatus.provesItself(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean = state != TaskState.ENDED || cause == ExitReason.DONE || heartbeat.termSeen >= machine.lease.requiredTerm

    /**
     * Processes the status of [attempt] as reported by the leader of another shard that owns the machine of the attempt: [status], or
     * null if the heartbeat lacks the attempt. The worker has seen the owner's fencing token, so it no longer carries out any start sent
     * by this leader.
     */
    fun statusFromOwner(
        attempt: Attempt,
        status: TaskStatus?,
        nowMs: Long,
    ) {
        if (status == null) {
            cluster.release(attempt, nowMs, "absent, reported by the machine's owner")
        } else {
            reconcileReported(attempt, status, nowMs)
        }
    }

    /**
     * Whether an unanswered start of a cancelled job may still be carried out on [machine]. Only a higher term rules it out, and a leader
     * whose lease has expired cannot obtain one.
     */
    fun mayStartCancelled(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.provesAbsence(machine)) return false
        return machine.attempts.any { attempt -> attempt.job.cancelled && heartbeat.tasks.none { it.task == cluster.taskId(attempt) } }
    }

    private fun reconcileReported(
        attempt: Attempt,
        status: TaskStatus,
        nowMs: Long,
    ) {
        attempt.startSent = true
        when (status.state) {
            TaskState.PULLING -> if (attempt.state != AttemptState.STOPPING) attempt.moveTo(AttemptState.PULLING, nowMs)
            TaskState.RUNNING, TaskState.CHECKPOINTING -> reconcileRunning(attempt, nowMs)
            TaskState.ENDED -> reconcileEnded(attempt, status.cause ?: ExitReason.UNKNOWN, nowMs)
        }
    }

    private fun reconcileRunning(
        attempt: Attempt,
        nowMs: Long,
    ) {
        val spec = attempt.job.spec
        if (attempt.state == AttemptState.PULLING && spec.shape == Shape.SERVICE) {
            log("${spec.id}/${attempt.index}: running on ${attempt.machine.id} after waiting ${nowMs - attempt.changedAtMs} ms for its image")
        }
        attempt.machine.images.markPresent(spec.image, spec.imageGb)
        when (attempt.state) {
            AttemptState.PLANNING, AttemptState.STOPPING, AttemptState.RUNNING -> return
            else -> {
                attempt.moveTo(AttemptState.RUNNING, nowMs)
                attempt.job.lastRunAtMs = nowMs
            }
        }
    }

    private fun reconcileEnded(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        when (cause) {
            ExitReason.DONE -> recordSuccess(attempt, nowMs)
            ExitReason.STOPPED -> cluster.release(attempt, nowMs, "stopped")
            ExitReason.GANG_INCOMPLETE -> cluster.release(attempt, nowMs, "gang incomplete")
            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_RUNNING -> recordRefusal(attempt, cause, nowMs)
            ExitReason.ERROR, ExitReason.UNKNOWN_TASK, ExitReason.UNKNOWN -> recordFailure(attempt, cause, nowMs)
        }
    }

    private fun recordSuccess(
        attempt: Attempt,
        nowMs: Long,
    ) {
        val job = attempt.job
        attempt.machine.images.markPresent(job.spec.image, job.spec.imageGb)
        failureAttribution.recordSuccess(job, attempt.machine, nowMs)
        if (attempt.state == AttemptState.RUNNING) cluster.runTimes.learn(job, (nowMs - attempt.changedAtMs) / TimeUnits.MS_PER_SECOND.toDouble())
        cluster.markDone(job, attempt.index, nowMs)
        cluster.release(attempt, nowMs, Cluster.DONE)
    }

    private fun recordRefusal(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        val machine = attempt.machine
        cluster.release(attempt, nowMs, "refused by the worker: $cause")
        machine.failureRecord.backOffUntil(nowMs + PlacementConstants.FAILURE_BACKOFF_MS)
    }

    private fun recordFailure(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        val ranMs = if (attempt.state == AttemptState.RUNNING) nowMs - attempt.changedAtMs else 0L
        cluster.release(attempt, nowMs, "failed: $cause after $ranMs ms")
        failureAttribution.recordFailure(attempt.job, attempt.machine, ranMs, nowMs)
    }

    /**
     * Handles an [attempt] that is missing from a heartbeat. An attempt never reported is kept, since its start may be in flight, unless
     * its plan is unconfirmed; any other is released once its absence is proven.
     */
    private fun reconcileMissing(
        attempt: Attempt,
        provesAbsence: Boolean,
        nowMs: Long,
    ) {
        val proof =
            when (attempt.state) {
                AttemptState.PULLING, AttemptState.RUNNING -> "no longer reported"
                AttemptState.STOPPING -> "absent"
                AttemptState.PLANNED -> if (attempt.isUnconfirmed) "absent, and its plan may have been released" else return
                else -> return
            }
        if (provesAbsence) cluster.release(attempt, nowMs, proof)
    }

    /** Records the success of a task, whichever attempt achieved it, including one that is no longer planned. */
    private fun recordCompletion(
        status: TaskStatus,
        nowMs: Long,
    ) {
        val job = cluster.jobs[status.task.job] ?: return
        val index = status.task.index
        if (index >= job.spec.tasks || job.progress.isDone(index)) return
        cluster.markDone(job, index, nowMs)
        job.attempt(index)?.let { cluster.stop(it, nowMs, "completed by another attempt") }
    }
}
