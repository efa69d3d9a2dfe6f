package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.Tuning
import mintfield.core.fleet.GuestTask
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ReachabilityState
import mintfield.core.model.EndCause
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.Shape
import mintfield.core.model.TaskId

/** Brings what workers report together with what is planned, and says what to order in return. */
class ReportHandler(
    private val cluster: Cluster,
    /** Whether users were told that a job is cancelled, whoever schedules it. */
    private val withdrawn: (String) -> Boolean = { false },
    private val log: (String) -> Unit,
) {
    val blame = FailureAttribution(cluster, log)

    /**
     * Takes in [report]. [checkin] tells a worker's own report from the answer to a direct command: only the former
     * proves that the starts in the answer to the one before were either carried out or dropped.
     */
    fun take(
        m: Machine,
        report: Report,
        checkin: Boolean,
        nowMs: Long,
    ): Boolean {
        if (report.season < m.season || (report.season == m.season && report.tally <= m.tally)) return false
        if (checkin) {
            m.checkedInAtMs = nowMs
            val leaseMs = (cluster.settings.leaseS * 1000).toLong()
            if (m.hearing.checkin(m, report, leaseMs, nowMs)) hearingChanged(m, nowMs)
        } else if (m.hearing.heard(nowMs)) {
            hearingChanged(m, nowMs)
        }
        if (report.season > m.season) newSeason(m, report, nowMs)
        m.tally = report.tally
        m.termSeen = maxOf(m.termSeen, report.termSeen)
        m.address = report.address
        m.heardAtMs = nowMs
        val same = m.quiet && report.tasks === m.lastReport?.tasks
        m.lastReport = report
        takeGuests(m, report)
        m.takenAtMs = report.noticeS?.let { nowMs + (it * 1000).toLong() }
        if (m.state == MachineState.AWAITED || m.state == MachineState.SILENT) m.moveTo(MachineState.UP, nowMs)
        if (same) return true
        m.quiet = false
        val seen = HashMap<TaskId, ReportedTask>(report.tasks.size * 2)
        report.tasks.forEach { seen[it.task] = it }
        val trusted = trusted(m, report)
        for (a in m.attempts.toList()) {
            val t = seen[cluster.taskId(a)]
            if (t != null && t.attempt == a.number) present(a, t, nowMs) else absent(a, checkin, trusted, nowMs)
        }
        for (t in report.tasks) {
            if (t.state == ReportedState.ENDED && t.cause == EndCause.DONE) strayDone(t, nowMs)
        }
        return true
    }

    private fun takeGuests(
        m: Machine,
        report: Report,
    ) = m.guests.replace(
        report.tasks.mapNotNull { t ->
            if (t.task.job in cluster.jobs) return@mapNotNull null
            cluster.ownership.guestSpec(t.task.job)?.let { GuestTask(it, t) }
        },
    )

    /**
     * The owner of [a]'s machine, another share's leader, has told what a report of the worker shows of it: [t], or nothing if it is
     * not there. The worker has then seen the owner's token, so no start from here can be carried out there any more.
     */
    fun toldByOwner(
        a: Attempt,
        t: ReportedTask?,
        nowMs: Long,
    ) = if (t == null) cluster.release(a, nowMs, "absent, by the machine's owner") else present(a, t, nowMs)

    private fun hearingChanged(
        m: Machine,
        nowMs: Long,
    ) {
        val h = m.hearing
        if (h.state == ReachabilityState.DEAF) log("${m.id} reports but does not hear us: no new tasks there")
        if (h.state == ReachabilityState.HEARS && h.times > 0) {
            val pause = Tuning.DEAF_PAUSE_MS shl minOf(h.times, Tuning.DEAF_DOUBLINGS)
            m.avoidUntilMs = maxOf(m.avoidUntilMs, nowMs + pause)
            log("${m.id} hears us again, new tasks in $pause ms")
        }
    }

    /** Whether no earlier start can be carried out any more after what [report] shows. */
    private fun trusted(
        m: Machine,
        report: Report,
    ) = report.termSeen > m.unansweredTerm && !m.directInFlight

    /**
     * Whether a start of a withdrawn job that got no answer may yet be carried out there. Only a higher term rules that out,
     * which a leader past its lease cannot have.
     */
    fun mayStartWithdrawn(
        m: Machine,
        report: Report,
    ): Boolean = !trusted(m, report) && m.attempts.any { a -> a.job.withdrawn && report.tasks.none { it.task == cluster.taskId(a) } }

    private fun newSeason(
        m: Machine,
        report: Report,
        nowMs: Long,
    ) {
        m.attempts.filter { it.season < report.season }.forEach { cluster.release(it, nowMs, "season ${report.season} began") }
        if (m.season != 0L) log("${m.id} is in season ${report.season}, lost its tasks")
        m.season = report.season
        // Its lease began with the season. Counted from the last answer alone, what is started in it would be taken for ended.
        m.answeredAtMs = maxOf(m.answeredAtMs, nowMs)
        m.tally = 0
    }

    private fun present(
        a: Attempt,
        t: ReportedTask,
        nowMs: Long,
    ) {
        a.everSent = true
        val spec = a.job.spec
        when (t.state) {
            ReportedState.PULLING -> {
                if (a.state != AttemptState.STOPPING) a.moveTo(AttemptState.PULLING, nowMs)
            }

            ReportedState.RUNNING, ReportedState.SAVING -> {
                if (a.state == AttemptState.PULLING && spec.shape == Shape.SERVICE) {
                    log("${spec.id}/${a.index} runs on ${a.machine.id} after ${nowMs - a.changedAtMs} ms for its image")
                }
                a.machine.imageUsed(spec.image, spec.imageGb)
                if (a.state == AttemptState.PLANNING) return
                if (a.state != AttemptState.STOPPING && a.state != AttemptState.RUNNING) {
                    a.moveTo(AttemptState.RUNNING, nowMs)
                    a.job.lastRunAtMs = nowMs
                }
            }

            ReportedState.ENDED -> {
                ended(a, t.cause ?: EndCause.UNKNOWN, nowMs)
            }
        }
    }

    private fun ended(
        a: Attempt,
        cause: EndCause,
        nowMs: Long,
    ) {
        val job = a.job
        val m = a.machine
        when (cause) {
            EndCause.DONE -> {
                m.imageUsed(job.spec.image, job.spec.imageGb)
                blame.succeeded(job, m, nowMs)
                if (a.state == AttemptState.RUNNING) cluster.runTimes.learn(job, (nowMs - a.changedAtMs) / 1000.0)
                cluster.markDone(job, a.index, nowMs)
                cluster.release(a, nowMs, Cluster.DONE)
            }

            EndCause.STOPPED, EndCause.PEERS -> {
                cluster.release(a, nowMs, if (cause == EndCause.PEERS) "others of its gang are missing" else "stopped")
            }

            EndCause.NO_ROOM, EndCause.IN_USE -> {
                cluster.release(a, nowMs, "refused: $cause")
                m.avoidUntilMs = maxOf(m.avoidUntilMs, nowMs + Tuning.FAILURE_PAUSE_MS)
            }

            EndCause.ERROR, EndCause.NO_SUCH, EndCause.UNKNOWN -> {
                val afterMs = if (a.state == AttemptState.RUNNING) nowMs - a.changedAtMs else 0L
                cluster.release(a, nowMs, "failed: $cause after $afterMs ms")
                blame.failed(job, m, afterMs, nowMs)
            }
        }
    }

    private fun absent(
        a: Attempt,
        checkin: Boolean,
        trusted: Boolean,
        nowMs: Long,
    ) {
        val gone =
            when (a.state) {
                AttemptState.PULLING, AttemptState.RUNNING -> "vanished"
                AttemptState.STOPPING -> "absent"
                else -> return
            }
        if (!checkin) return
        if (trusted) {
            cluster.release(a, nowMs, gone)
        } else if (a.machine.unansweredTerm >= cluster.token(a.machine)) {
            cluster.raiseWanted = true
        }
    }

    /** A result counts wherever it was reached, also if the attempt is not ours any more. */
    private fun strayDone(
        t: ReportedTask,
        nowMs: Long,
    ) {
        val job = cluster.jobs[t.task.job] ?: return
        if (t.task.index >= job.spec.tasks || job.done.get(t.task.index)) return
        cluster.markDone(job, t.task.index, nowMs)
        job.attempt(t.task.index)?.let { cluster.stop(it, nowMs, "done elsewhere") }
    }

    /** Orders for [m] after its last report: halts first, then clears, then starts, so that there is room for them. */
    fun orders(
        m: Machine,
        checkin: Boolean,
        nowMs: Long,
    ): List<Order> {
        val report = m.lastReport ?: return emptyList()
        if (m.quiet) {
            if (checkin) m.hearing.told(cluster.token(m), emptyList())
            return emptyList()
        }
        val halts = ArrayList<Order>()
        val clears = ArrayList<Order>()
        val seen = HashSet<TaskId>(report.tasks.size * 2)
        val trusted = trusted(m, report)
        for (t in report.tasks) {
            val job = cluster.jobs[t.task.job]
            val a = job?.attempt(t.task.index)?.takeIf { it.machine === m && it.number == t.attempt }
            val guest = if (a == null) m.guests[t.task] else null
            if (guest != null) {
                seen.add(t.task)
                when {
                    guest.ended -> if (checkin && guest.clearWanted) clears.add(Order.Clear(t.task, t.attempt))
                    guest.haltWanted || withdrawn(t.task.job) -> {
                        if (guest.haltedSinceMs == 0L) guest.haltedSinceMs = nowMs
                        halts.add(Order.Halt(t.task, t.attempt, 0.0))
                    }
                }
                continue
            }
            if (a == null && job == null && nowMs - m.adoptedAtMs < Tuning.GUEST_PATIENCE_MS) continue
            if (a != null) seen.add(t.task)
            if (t.state == ReportedState.ENDED) {
                if (checkin && a == null && mayClear(t, job)) {
                    if (trusted) {
                        clears.add(Order.Clear(t.task, t.attempt))
                    } else if (m.unansweredTerm >= cluster.token(m)) {
                        cluster.raiseWanted = true
                    }
                }
            } else if (a == null || a.state == AttemptState.STOPPING) {
                halts.add(Order.Halt(t.task, t.attempt, grace(a, m, nowMs)))
            }
        }
        val runs = ArrayList<Order>()
        val started = ArrayList<Attempt>()
        val mayStart = cluster.ownership.mayStart(m.id)
        for (a in m.attempts) {
            val id = cluster.taskId(a)
            if (!mayStart || id in seen || a.job.withdrawn || a.season != m.season) continue
            val due = a.state == AttemptState.PLANNED || (checkin && a.state == AttemptState.STARTING)
            if (!due) continue
            runs.add(Order.Run(id, a.number))
            started.add(a)
            a.everSent = true
            if (a.state == AttemptState.PLANNED) a.moveTo(AttemptState.STARTING, nowMs)
        }
        if (checkin) m.hearing.told(cluster.token(m), started)
        if (halts.isEmpty() && clears.isEmpty() && runs.isEmpty()) {
            m.quiet =
                m.guests.isEmpty &&
                seen.size == m.attempts.size &&
                seen.size == report.tasks.size &&
                report.tasks.none { it.state == ReportedState.ENDED }
            return emptyList()
        }
        return (halts + clears + runs).take(MAX_ORDERS)
    }

    private fun grace(
        a: Attempt?,
        m: Machine,
        nowMs: Long,
    ): Double {
        val spec = a?.job?.spec ?: return 0.0
        if (a.job.withdrawn || spec.checkpointS <= 0) return 0.0
        if (nowMs - a.changedAtMs > spec.saveS * 2000 + GRACE_SLACK_MS) return 0.0
        return if (m.takenAtMs == null) spec.saveS * 2 else spec.saveS
    }

    /** A done task may leave the worker's reports only when its result is in the store. */
    private fun mayClear(
        t: ReportedTask,
        job: Job?,
    ): Boolean = job == null || job.withdrawn || t.cause != EndCause.DONE || job.doneWritten.get(t.task.index)

    private companion object {
        /** Orders in one answer; keeps the line within the protocol's 64 KiB. */
        const val MAX_ORDERS = 500

        const val GRACE_SLACK_MS = 3_000L
    }
}
