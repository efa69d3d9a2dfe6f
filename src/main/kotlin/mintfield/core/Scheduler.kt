package mintfield.core

import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.SilentZones
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Belief
import mintfield.core.jobs.DirectCommands
import mintfield.core.jobs.Job
import mintfield.core.jobs.ReportHandler
import mintfield.core.jobs.RoundLedger
import mintfield.core.jobs.RoundRecord
import mintfield.core.leadership.RenewalBound
import mintfield.core.model.AcceptedJob
import mintfield.core.model.MachineType
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.ReportedState
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/** How a report is answered. */
sealed interface ReportAnswer {
    data class Orders(
        val term: Long,
        val orders: List<Order>,
    ) : ReportAnswer

    /** The worker has seen a higher term: this leader's time is over. */
    data object Deposed : ReportAnswer

    /** Another share's leader acts for the machine, or nobody does at the moment. */
    data object OwnedByAnother : ReportAnswer

    /** It may not be answered yet. */
    data object NotNow : ReportAnswer

    /** It must not be answered: its machine may hold a task that is cancelled unknown to this leader. */
    data object Unrenewed : ReportAnswer
}

/**
 * The leader's decisions. It does no input or output: it is told what happened and what time it is, and asked what to
 * write, what to send and what to ask of the cloud. Nothing it returns may be carried out after the leader's lease.
 */
class Scheduler(
    settings: Settings,
    term: Long,
    /** Whether a job is recorded as withdrawn, also before the replay has told of it. */
    private val recordedWithdrawn: (String) -> Boolean = { false },
    private val ownership: Ownership = WholeFleet,
    private val dependencies: DependencyGraph = DependencyGraph { null },
    stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    private val log: (String) -> Unit,
) {
    val cluster = Cluster(settings, term, ownership, stateLimits, log)
    private val renewalBound = RenewalBound(settings)
    internal val reports = ReportHandler(cluster, ::knownWithdrawn, log)
    val fleet = FleetManager(cluster, log)
    val disowning = SilentZones(cluster, log)

    private val ledger = RoundLedger(cluster, fleet)
    private val commits = CommitPlanner(cluster, fleet, disowning, ledger, reports.blame, InheritedUrgency(cluster, dependencies), ::jobRemoved, log)
    private val direct = DirectCommands(cluster, reports, log)

    /** Workers that were answered before the replay, and when the last of them came for the first time. */
    private val renewed = HashSet<String>()
    private var lastRenewedMs = Machine.NEVER

    /**
     * Jobs that siblings told of as withdrawn before the replay. The state service may fall silent before the view shows them,
     * and what the siblings have told counts as known when workers are renewed.
     */
    private val withdrawnBeforeReplay = HashSet<String>()

    /** Replay has ended; before, reports are answered with the term only. */
    var loaded = false
        private set

    // ---- replay ----

    /** Whether workers still come for the first time since the election, whose leases must not run out for the replay's sake. */
    fun renewing(nowMs: Long) = nowMs - lastRenewedMs < Tuning.RENEWALS_QUIET_MS

    fun types(
        types: List<MachineType>,
        nowMs: Long,
    ) = fleet.typesRead(types, nowMs)

    fun replayIntent(intent: RentIntent) {
        fleet.intents[intent.plea] = intent
    }

    fun replayRound(
        key: String,
        record: RoundRecord,
        mark: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) = ledger.replay(key, record, mark, nowMs, keep)

    /**
     * A round record of which not even the jobs can be told. What it planned is at work unknown to us, until its workers
     * have reported or lost their leases; nothing is planned before.
     */
    fun replayUnreadableRound(nowMs: Long) {
        cluster.holdUntilMs = nowMs + cluster.timings.leaseEndedMs + Tuning.SILENT_RETURN_SLACK_MS
    }

    /** What cannot be read may plan anything anywhere: the job keeps what it has, and gets nothing new. */
    fun replayUnreadableJob(jobId: String) {
        cluster.jobs[jobId]?.unreadable = true
    }

    /** Takes over what an earlier leader had learned; machines that it does not know are left out. */
    fun recall(hints: Hints) {
        cluster.runTimes.recall(hints.logRatio)
        for ((id, trials) in hints.doubted) cluster.jobs[id]?.let { reports.blame.recall(it, trials) }
        for ((id, images) in hints.machineImages) {
            val m = cluster.machines[id] ?: continue
            images.forEach { image -> hints.imageGb[image]?.let { m.imageUsed(image, it) } }
        }
    }

    fun replayDone(nowMs: Long) {
        loaded = true
        disowning.read = true
        cluster.replayedAtMs = nowMs
        // What was replayed is written already.
        for (job in cluster.jobs.values) {
            job.changed.clear()
            job.staleSinceMs = 0
        }
        withdrawnBeforeReplay.forEach { id -> cluster.jobs[id]?.withdrawn = true }
        for (job in cluster.jobs.values) if (job.withdrawn) job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "withdrawn", quietly = true) }
    }

    // ---- jobs ----

    fun jobChanged(
        accepted: AcceptedJob,
        nowMs: Long,
    ) {
        val job = cluster.jobs[accepted.spec.id]
        if (job == null) {
            add(Job(accepted), nowMs)
            return
        }
        if (accepted.mark <= job.mark) return
        job.mark = accepted.mark
        job.finishing = false
        job.withdrawnInRecord = accepted.withdrawn
        if (accepted.withdrawn && !job.withdrawn) withdraw(job, nowMs)
    }

    private fun add(
        job: Job,
        nowMs: Long,
    ) {
        cluster.jobs[job.id] = job
        job.seenAtMs = nowMs
        when {
            job.ready -> {}
            dependencies.isDoomed(job.id) -> cluster.doomed.add(job)
            dependencies.isReady(job.id) -> job.becomeReady(dependencies.readySinceMs(job.id))
        }
    }

    /** All predecessors of the job [id] have recorded that they are done: it may start. */
    fun becameReady(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs[id] ?: return
        job.becomeReady(dependencies.readySinceMs(id))
        job.seenAtMs = nowMs
        cluster.roundWanted = true
        log("$id is ready: all jobs that it depends on are done")
    }

    /** A job that [id] depends on is withdrawn, and so [id] is to be. */
    fun becameDoomed(id: String) {
        cluster.jobs[id]?.let(cluster.doomed::add)
    }

    /** The job's key is gone from the store: it is finished, or swept. */
    fun jobRemoved(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs.remove(id) ?: return
        cluster.troubled.remove(job)
        cluster.doomed.remove(job)
        job.told.keys
            .toList()
            .forEach { ledger.unneeded(job, it, Long.MAX_VALUE) }
        // A line for each would fill the log of a leader that comes back and finds everything ended.
        if (job.activeAttempts.isNotEmpty()) log("$id is gone from the store, ${job.activeAttempts.size} tasks are left to their workers' reports")
        for (a in job.activeAttempts.toList()) cluster.release(a, nowMs, Cluster.DESCRIBED_ANEW)
    }

    // ---- workers ----

    fun report(
        report: Report,
        mayAct: Boolean,
        nowMs: Long,
        relayed: Boolean = false,
        parked: Boolean = false,
        /** All cancellations that users were told of before this moment are known here. */
        cancellationsToMs: Long = nowMs,
    ): ReportAnswer {
        if (!ownership.owns(report.machine)) return ReportAnswer.OwnedByAnother
        val token = maxOf(cluster.term, ownership.epoch(report.machine))
        if (report.termSeen > token) return ReportAnswer.Deposed
        if (!disowning.mayAnswer(report.machine)) return ReportAnswer.NotNow
        val mayRenew = renewalBound.allows(nowMs - cancellationsToMs)
        if (!loaded) {
            if (!mayRenew) return ReportAnswer.Unrenewed
            known(report, nowMs)?.answeredAtMs = nowMs
            if (renewed.add(report.machine)) lastRenewedMs = nowMs
            return halts(report)
        }
        val m = known(report, nowMs) ?: return if (mayRenew) halts(report) else ReportAnswer.Unrenewed
        m.relayed = relayed
        m.parked = parked
        if (m.state == MachineState.AWAITED && report.season == 1L && report.termSeen == 0L) fleet.boots.cameUp(m, nowMs - m.firstSeenAtMs, nowMs)
        val fresh = reports.take(m, report, checkin = true, nowMs)
        if (!mayRenew || (!mayAct && reports.mayStartWithdrawn(m, report))) return ReportAnswer.Unrenewed
        m.answeredAtMs = nowMs
        if (!fresh || !mayAct) return halts(report)
        return ReportAnswer.Orders(token, reports.orders(m, checkin = true, nowMs))
    }

    /**
     * An answer that only renews, and halts what is recorded as withdrawn. That record is for ever, so such a halt is right
     * whoever leads and whenever it arrives: a leader past its lease may give it too.
     */
    private fun halts(report: Report): ReportAnswer =
        ReportAnswer.Orders(
            maxOf(cluster.term, ownership.epoch(report.machine)),
            report.tasks
                .filter { it.state != ReportedState.ENDED && knownWithdrawn(it.task.job) }
                .map { Order.Halt(it.task, it.attempt, 0.0) },
        )

    private fun knownWithdrawn(job: String) = cluster.jobs[job]?.withdrawn == true || job in withdrawnBeforeReplay || recordedWithdrawn(job)

    /** A sibling has told a user that [id] is cancelled: its tasks stop now, whatever this leader can read itself. */
    fun withdrawnElsewhere(
        id: String,
        nowMs: Long,
    ) {
        if (!loaded) withdrawnBeforeReplay.add(id)
        cluster.jobs[id]?.takeIf { !it.withdrawn }?.let { withdraw(it, nowMs) }
    }

    private fun withdraw(
        job: Job,
        nowMs: Long,
    ) {
        job.withdrawn = true
        log("${job.id} is withdrawn, ${job.activeAttempts.size} tasks to stop")
        job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "withdrawn", quietly = true) }
    }

    private fun known(
        report: Report,
        nowMs: Long,
    ): Machine? {
        val m = fleet.machine(report.machine, report.type, report.zone, report.spot, nowMs)
        if (m == null || !m.guessed) return m
        return fleet.redescribe(m, report.type, report.zone, report.spot, nowMs)
    }

    fun directCalls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> = if (loaded) direct.calls(nowMs, most) else emptyList()

    fun directAnswered(
        call: DirectCall,
        report: Report?,
        nowMs: Long,
    ) = direct.answered(call, report, nowMs)

    fun directUnanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) = direct.unanswered(call, sent, nowMs)

    // ---- time ----

    fun tick(nowMs: Long) {
        if (!loaded) return
        fleet.tick(nowMs)
        fleet.size(nowMs)
    }

    // ---- the store ----

    /** The next transaction of at most [ops] writes; null if there is nothing to write. [yielding]: users wait for their own writes. */
    fun nextCommit(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean = false,
    ): Commit? = if (loaded && ops > 0) commits.next(nowMs, wallMs, ops, yielding) else null

    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) = commits.committed(commit, result, nowMs)

    /** Writes that found no room in their transaction. */
    fun untaken(
        writes: List<Write>,
        nowMs: Long,
    ) = ledger.putBack(writes, nowMs)

    /** A write without an answer may yet be carried out: the term must rise, so that its guard fails. */
    fun fenceLateWrites() = commits.fenceLateWrites()

    /** The leader key was rewritten: starts under lower terms are void wherever the new one is seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) = commits.raised(term, nowMs)

    // ---- the cloud ----

    fun cloudCall(nowMs: Long): CloudCall? = if (loaded) fleet.nextCall(nowMs) else null

    fun listed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) = fleet.listed(page, hasNext, nowMs)

    /** Attempts that run, for what users are shown. */
    fun runningCount(job: Job): Int = job.count(AttemptState.RUNNING)

    /** One line for the log: how much runs where. */
    fun summary(nowMs: Long): String {
        val by =
            cluster.machines.values
                .groupingBy { it.state }
                .eachCount()
        val free =
            cluster.machines.values
                .filter { it.state == MachineState.UP }
                .sumOf { it.freeCpus }
        val doubted = cluster.troubled.count { it.belief == Belief.DOUBTED }
        val waiting =
            cluster.jobs.values
                .filter { !it.withdrawn && it.ready }
                .sumOf { it.waitingCount }
        val dependent = cluster.jobs.values.count { !it.withdrawn && !it.ready }
        val attempts =
            cluster.machines.values
                .flatMap { it.attempts }
                .groupingBy { it.state }
                .eachCount()
        return "term ${cluster.term}: ${cluster.jobs.size} jobs, $doubted of them fail everywhere, $dependent wait for others, " +
            "attempts $attempts, $waiting waiting, machines $by, ${fleet.lateCount(nowMs)} late, ${free.toInt()} CPUs free"
    }
}
