package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.ShardingConstants
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
import mintfield.core.model.WorkerCommand

/** Brings what workers report together with what is planned, and says what to order in return. */
class HeartbeatReconciler(
    private val cluster: Cluster,
    /** Whether users were told that a job is cancelled, whoever schedules it. */
    private val cancelled: (String) -> Boolean = { false },
    private val log: (String) -> Unit,
) {
    val failureAttribution = FailureAttribution(cluster, log)

    /**
     * Takes in [heartbeat]. [viaHeartbeat] tells a worker's own heartbeat from the answer to a direct command: only the former
     * proves that the starts in the answer to the one before were either carried out or dropped.
     */
    fun take(
        m: Machine,
        heartbeat: Heartbeat,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ): Boolean {
        if (!m.heartbeats.isSucceededBy(heartbeat)) return false
        if (viaHeartbeat) {
            m.heartbeats.recordUnprompted(nowMs)
            val leaseMs = (cluster.settings.leaseS * 1000).toLong()
            if (m.reachability.onHeartbeat(m.heartbeats, heartbeat, leaseMs, nowMs)) reachabilityChanged(m, nowMs)
        } else if (m.reachability.confirmDelivery(nowMs)) {
            reachabilityChanged(m, nowMs)
        }
        if (heartbeat.incarnation > m.incarnation) startIncarnation(m, heartbeat, nowMs)
        val same = m.occupancy.reconciled && heartbeat.tasks === m.lastHeartbeat?.tasks
        m.heartbeats.record(heartbeat, nowMs)
        updateForeignTasks(m, heartbeat)
        if (m.state == MachineState.PROVISIONING || m.state == MachineState.UNRESPONSIVE) m.moveTo(MachineState.UP, nowMs)
        if (same) return true
        m.occupancy.markReconciled(false)
        val seen = HashMap<TaskId, TaskStatus>(heartbeat.tasks.size * 2)
        heartbeat.tasks.forEach { seen[it.task] = it }
        val trusted = trusted(m, heartbeat)
        for (a in m.attempts.toList()) {
            val t = seen[cluster.taskId(a)]
            if (t != null && t.attempt == a.number) present(a, t, nowMs) else absent(a, viaHeartbeat, trusted, nowMs)
        }
        for (t in heartbeat.tasks) {
            if (t.state == TaskState.ENDED && t.cause == ExitReason.DONE) completedElsewhere(t, nowMs)
        }
        return true
    }

    private fun updateForeignTasks(
        m: Machine,
        heartbeat: Heartbeat,
    ) = m.occupancy.replaceForeignTasks(
        heartbeat.tasks.mapNotNull { t ->
            if (t.task.job in cluster.jobs) return@mapNotNull null
            cluster.ownership.foreignSpec(t.task.job)?.let { ForeignTask(it, t) }
        },
    )

    /**
     * The owner of [a]'s machine, another share's leader, has told what a heartbeat of the worker shows of it: [t], or nothing if it is
     * not there. The worker has then seen the owner's token, so no start from here can be carried out there any more.
     */
    fun statusFromOwner(
        a: Attempt,
        t: TaskStatus?,
        nowMs: Long,
    ) = if (t == null) cluster.release(a, nowMs, "absent, by the machine's owner") else present(a, t, nowMs)

    private fun reachabilityChanged(
        m: Machine,
        nowMs: Long,
    ) {
        val h = m.reachability
        if (h.state ==
            ReachabilityState.UNREACHABLE
        ) {
            log("${m.id}: unreachable: its heartbeats arrive but responses to it are lost; no new tasks are placed there")
        }
        if (h.state == ReachabilityState.REACHABLE && h.episodes > 0) {
            val pause = WorkerConstants.REACHABLE_BACKOFF_MS shl minOf(h.episodes, WorkerConstants.MAX_REACHABLE_BACKOFF_DOUBLINGS)
            m.failureRecord.backOffUntil(nowMs + pause)
            log("${m.id}: reachable again, new tasks in $pause ms")
        }
    }

    /** Whether no earlier start can be carried out any more after what [heartbeat] shows. */
    private fun trusted(
        m: Machine,
        heartbeat: Heartbeat,
    ) = heartbeat.termSeen > m.lease.unacknowledgedTerm && !m.directRoute.inFlight

    /**
     * Whether a start of a cancelled job that got no answer may yet be carried out there. Only a higher term rules that out,
     * which a leader past its lease cannot have.
     */
    fun mayStartCancelled(
        m: Machine,
        heartbeat: Heartbeat,
    ): Boolean = !trusted(m, heartbeat) && m.attempts.any { a -> a.job.cancelled && heartbeat.tasks.none { it.task == cluster.taskId(a) } }

    private fun startIncarnation(
        m: Machine,
        heartbeat: Heartbeat,
        nowMs: Long,
    ) {
        m.attempts.filter { it.incarnation < heartbeat.incarnation }.forEach { cluster.release(it, nowMs, "incarnation ${heartbeat.incarnation} started") }
        if (m.incarnation != 0L) log("${m.id}: lease expired, incarnation ${heartbeat.incarnation} started, its tasks are lost")
        m.heartbeats.startIncarnation(heartbeat.incarnation)
        m.lease.restart(nowMs)
    }

    private fun present(
        a: Attempt,
        t: TaskStatus,
        nowMs: Long,
    ) {
        a.startSent = true
        val spec = a.job.spec
        when (t.state) {
            TaskState.PULLING -> {
                if (a.state != AttemptState.STOPPING) a.moveTo(AttemptState.PULLING, nowMs)
            }

            TaskState.RUNNING, TaskState.CHECKPOINTING -> {
                if (a.state == AttemptState.PULLING && spec.shape == Shape.SERVICE) {
                    log("${spec.id}/${a.index} runs on ${a.machine.id} after ${nowMs - a.changedAtMs} ms for its image")
                }
                a.machine.images.markPresent(spec.image, spec.imageGb)
                if (a.state == AttemptState.PLANNING) return
                if (a.state != AttemptState.STOPPING && a.state != AttemptState.RUNNING) {
                    a.moveTo(AttemptState.RUNNING, nowMs)
                    a.job.lastRunAtMs = nowMs
                }
            }

            TaskState.ENDED -> {
                ended(a, t.cause ?: ExitReason.UNKNOWN, nowMs)
            }
        }
    }

    private fun ended(
        a: Attempt,
        cause: ExitReason,
        nowMs: Long,
    ) {
        val job = a.job
        val m = a.machine
        when (cause) {
            ExitReason.DONE -> {
                m.images.markPresent(job.spec.image, job.spec.imageGb)
                failureAttribution.succeeded(job, m, nowMs)
                if (a.state == AttemptState.RUNNING) cluster.runTimes.learn(job, (nowMs - a.changedAtMs) / 1000.0)
                cluster.markDone(job, a.index, nowMs)
                cluster.release(a, nowMs, Cluster.DONE)
            }

            ExitReason.STOPPED, ExitReason.GANG_INCOMPLETE -> {
                cluster.release(a, nowMs, if (cause == ExitReason.GANG_INCOMPLETE) "others of its gang are missing" else "stopped")
            }

            ExitReason.INSUFFICIENT_RESOURCES, ExitReason.ALREADY_RUNNING -> {
                cluster.release(a, nowMs, "refused: $cause")
                m.failureRecord.backOffUntil(nowMs + PlacementConstants.FAILURE_BACKOFF_MS)
            }

            ExitReason.ERROR, ExitReason.UNKNOWN_TASK, ExitReason.UNKNOWN -> {
                val afterMs = if (a.state == AttemptState.RUNNING) nowMs - a.changedAtMs else 0L
                cluster.release(a, nowMs, "failed: $cause after $afterMs ms")
                failureAttribution.failed(job, m, afterMs, nowMs)
            }
        }
    }

    private fun absent(
        a: Attempt,
        viaHeartbeat: Boolean,
        trusted: Boolean,
        nowMs: Long,
    ) {
        val gone =
            when (a.state) {
                AttemptState.PULLING, AttemptState.RUNNING -> "vanished"
                AttemptState.STOPPING -> "absent"
                else -> return
            }
        if (!viaHeartbeat) return
        if (trusted) {
            cluster.release(a, nowMs, gone)
        } else if (a.machine.lease.unacknowledgedTerm >= cluster.token(a.machine)) {
            cluster.raiseWanted = true
        }
    }

    /** A result counts wherever it was reached, also if the attempt is not ours any more. */
    private fun completedElsewhere(
        t: TaskStatus,
        nowMs: Long,
    ) {
        val job = cluster.jobs[t.task.job] ?: return
        if (t.task.index >= job.spec.tasks || job.done.get(t.task.index)) return
        cluster.markDone(job, t.task.index, nowMs)
        job.attempt(t.task.index)?.let { cluster.stop(it, nowMs, "done elsewhere") }
    }

    /** Orders for [m] after its last heartbeat: stops first, then clears, then starts, so that there is room for them. */
    fun commands(
        m: Machine,
        viaHeartbeat: Boolean,
        nowMs: Long,
    ): List<WorkerCommand> {
        val heartbeat = m.lastHeartbeat ?: return emptyList()
        if (m.occupancy.reconciled) {
            if (viaHeartbeat) m.reachability.recordAnswer(cluster.token(m), emptyList())
            return emptyList()
        }
        val stops = ArrayList<WorkerCommand>()
        val acknowledgements = ArrayList<WorkerCommand>()
        val seen = HashSet<TaskId>(heartbeat.tasks.size * 2)
        val trusted = trusted(m, heartbeat)
        for (t in heartbeat.tasks) {
            val job = cluster.jobs[t.task.job]
            val a = job?.attempt(t.task.index)?.takeIf { it.machine === m && it.number == t.attempt }
            val foreign = if (a == null) m.foreignTasks[t.task] else null
            if (foreign != null) {
                seen.add(t.task)
                when {
                    foreign.ended -> if (viaHeartbeat && foreign.acknowledgeWanted) acknowledgements.add(WorkerCommand.Acknowledge(t.task, t.attempt))
                    foreign.stopWanted || cancelled(t.task.job) -> {
                        foreign.stopSent(nowMs)
                        stops.add(WorkerCommand.Stop(t.task, t.attempt, 0.0))
                    }
                }
                continue
            }
            if (a == null && job == null && nowMs - m.origin.adoptedAtMs < ShardingConstants.FOREIGN_TASK_GRACE_MS) continue
            if (a != null) seen.add(t.task)
            if (t.state == TaskState.ENDED) {
                if (viaHeartbeat && a == null && mayAcknowledge(t, job)) {
                    if (trusted) {
                        acknowledgements.add(WorkerCommand.Acknowledge(t.task, t.attempt))
                    } else if (m.lease.unacknowledgedTerm >= cluster.token(m)) {
                        cluster.raiseWanted = true
                    }
                }
            } else if (a == null || a.state == AttemptState.STOPPING) {
                stops.add(WorkerCommand.Stop(t.task, t.attempt, grace(a, m, nowMs)))
            }
        }
        val starts = ArrayList<WorkerCommand>()
        val startedAttempts = ArrayList<Attempt>()
        val mayStart = cluster.ownership.mayStart(m.id)
        for (a in m.attempts) {
            val id = cluster.taskId(a)
            if (!mayStart || id in seen || a.job.cancelled || a.incarnation != m.incarnation) continue
            val due = a.state == AttemptState.PLANNED || (viaHeartbeat && a.state == AttemptState.STARTING)
            if (!due) continue
            starts.add(WorkerCommand.Start(id, a.number))
            startedAttempts.add(a)
            a.startSent = true
            if (a.state == AttemptState.PLANNED) a.moveTo(AttemptState.STARTING, nowMs)
        }
        if (viaHeartbeat) m.reachability.recordAnswer(cluster.token(m), startedAttempts)
        if (stops.isEmpty() && acknowledgements.isEmpty() && starts.isEmpty()) {
            m.occupancy.markReconciled(
                m.foreignTasks.isEmpty &&
                    seen.size == m.attempts.size &&
                    seen.size == heartbeat.tasks.size &&
                    heartbeat.tasks.none { it.state == TaskState.ENDED },
            )
            return emptyList()
        }
        return (stops + acknowledgements + starts).take(MAX_COMMANDS)
    }

    private fun grace(
        a: Attempt?,
        m: Machine,
        nowMs: Long,
    ): Double {
        val spec = a?.job?.spec ?: return 0.0
        if (a.job.cancelled || spec.checkpointS <= 0) return 0.0
        if (nowMs - a.changedAtMs > spec.saveS * 2000 + GRACE_SLACK_MS) return 0.0
        return if (m.heartbeats.terminationAtMs == null) spec.saveS * 2 else spec.saveS
    }

    /** A done task may leave the worker's reports only when its result is in the store. */
    private fun mayAcknowledge(
        t: TaskStatus,
        job: Job?,
    ): Boolean = job == null || job.cancelled || t.cause != ExitReason.DONE || job.doneWritten.get(t.task.index)

    private companion object {
        /** Orders in one answer; keeps the line within the protocol's 64 KiB. */
        const val MAX_COMMANDS = 500

        const val GRACE_SLACK_MS = 3_000L
    }
}
