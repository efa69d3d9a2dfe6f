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
 * Reconciles the plan with what workers report: moves attempts to the states that heartbeats show, records results, and releases
 * attempts that are proven to be gone. What is to be commanded in response is up to [CommandPlanner].
 *
 * Not thread-safe, like the [Cluster] that it changes.
 */
class HeartbeatReconciler(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Notified of each success and failure. */
    val failureAttribution = FailureAttribution(cluster, log)

    /**
     * Takes in [heartbeat], received at [nowMs] (steady milliseconds). False if it is not newer than what is known of [machine]; then
     * nothing changes.
     *
     * [viaHeartbeat] distinguishes a worker's own heartbeat from the response to a direct command: only a heartbeat proves that the starts in
     * the response to the one before it were either carried out or dropped.
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
        // Decoders keep a list of tasks that has not changed, so that the same list need not be reconciled twice.
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
            log("${machine.id}: reachable again, new tasks in $backoffMs ms")
        }
    }

    /** The worker's lease has expired, and with it everything on the machine is gone. */
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
                present(attempt, status, nowMs)
            } else if (viaHeartbeat) {
                absent(attempt, provesAbsence, nowMs)
            }
        }
        for (status in heartbeat.tasks) {
            if (status.state == TaskState.ENDED && status.cause == ExitReason.DONE) completed(status, nowMs)
        }
    }

    /**
     * The leader of another shard, which owns the machine of [attempt], has reported what a heartbeat shows of the attempt: [status], or
     * null if it is absent. That worker has seen the owner's token, so that no start of this leader can be carried out there any more.
     */
    fun statusFromOwner(
        attempt: Attempt,
        status: TaskStatus?,
        nowMs: Long,
    ) {
        if (status == null) {
            cluster.release(attempt, nowMs, "absent, by the machine's owner")
        } else {
            present(attempt, status, nowMs)
        }
    }

    /**
     * Whether a start of a cancelled job that got no response may still be carried out on [machine]. Only a higher term rules that
     * out, which a leader past its lease cannot get.
     */
    fun mayStartCancelled(
        machine: Machine,
        heartbeat: Heartbeat,
    ): Boolean {
        if (heartbeat.provesAbsence(machine)) return false
        return machine.attempts.any { attempt -> attempt.job.cancelled && heartbeat.tasks.none { it.task == cluster.taskId(attempt) } }
    }

    private fun present(
        attempt: Attempt,
        status: TaskStatus,
        nowMs: Long,
    ) {
        attempt.startSent = true
        when (status.state) {
            TaskState.PULLING -> if (attempt.state != AttemptState.STOPPING) attempt.moveTo(AttemptState.PULLING, nowMs)
            TaskState.RUNNING, TaskState.CHECKPOINTING -> running(attempt, nowMs)
            TaskState.ENDED -> ended(attempt, status.cause ?: ExitReason.UNKNOWN, nowMs)
        }
    }

    private fun running(
        attempt: Attempt,
        nowMs: Long,
    ) {
        val spec = attempt.job.spec
        if (attempt.state == AttemptState.PULLING && spec.shape == Shape.SERVICE) {
            log("${spec.id}/${attempt.index} runs on ${attempt.machine.id} after ${nowMs - attempt.changedAtMs} ms for its image")
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

    private fun ended(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        when (cause) {
            ExitReason.DONE -> succeeded(attempt, nowMs)
            ExitReason.STOPPED -> cluster.release(attempt, nowMs, "stopped")
            ExitReason.GANG_INCOMPLETE -> cluster.release(attempt, nowMs, "others of its gang are missing")
            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_RUNNING -> refused(attempt, cause, nowMs)
            ExitReason.ERROR, ExitReason.UNKNOWN_TASK, ExitReason.UNKNOWN -> failed(attempt, cause, nowMs)
        }
    }

    private fun succeeded(
        attempt: Attempt,
        nowMs: Long,
    ) {
        val job = attempt.job
        attempt.machine.images.markPresent(job.spec.image, job.spec.imageGb)
        failureAttribution.succeeded(job, attempt.machine, nowMs)
        if (attempt.state == AttemptState.RUNNING) cluster.runTimes.learn(job, (nowMs - attempt.changedAtMs) / TimeUnits.MS_PER_SECOND.toDouble())
        cluster.markDone(job, attempt.index, nowMs)
        cluster.release(attempt, nowMs, Cluster.DONE)
    }

    private fun refused(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        val machine = attempt.machine
        cluster.release(attempt, nowMs, "refused: $cause")
        machine.failureRecord.backOffUntil(nowMs + PlacementConstants.FAILURE_BACKOFF_MS)
    }

    private fun failed(
        attempt: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        val ranMs = if (attempt.state == AttemptState.RUNNING) nowMs - attempt.changedAtMs else 0L
        cluster.release(attempt, nowMs, "failed: $cause after $ranMs ms")
        failureAttribution.failed(attempt.job, attempt.machine, ranMs, nowMs)
    }

    /** A heartbeat lacks [attempt]. One that was never seen may be on its way; one that was seen is gone, if that is proven. */
    private fun absent(
        attempt: Attempt,
        provesAbsence: Boolean,
        nowMs: Long,
    ) {
        val proof =
            when (attempt.state) {
                AttemptState.PULLING, AttemptState.RUNNING -> "vanished"
                AttemptState.STOPPING -> "absent"
                else -> return
            }
        if (provesAbsence) {
            cluster.release(attempt, nowMs, proof)
        } else if (attempt.machine.lease.unacknowledgedTerm >= cluster.token(attempt.machine)) {
            cluster.termRaiseRequested = true
        }
    }

    /** A result counts whichever attempt reached it, also one that is not planned any more. */
    private fun completed(
        status: TaskStatus,
        nowMs: Long,
    ) {
        val job = cluster.jobs[status.task.job] ?: return
        val index = status.task.index
        if (index >= job.spec.tasks || job.progress.isDone(index)) return
        cluster.markDone(job, index, nowMs)
        job.attempt(index)?.let { cluster.stop(it, nowMs, "done elsewhere") }
    }
}
