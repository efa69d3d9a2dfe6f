package mintfield.core

import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.HearingState
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job
import mintfield.core.jobs.ReportHandler
import mintfield.core.jobs.ShardRecord
import mintfield.core.jobs.Shards
import mintfield.core.model.AcceptedJob
import mintfield.core.model.MachineType
import mintfield.core.model.Order
import mintfield.core.model.Report
import mintfield.core.model.Settings
import mintfield.core.model.Shape
import mintfield.core.placement.Round

/** How a report is answered. */
sealed interface ReportAnswer {
    data class Orders(
        val term: Long,
        val orders: List<Order>,
    ) : ReportAnswer

    /** The worker has seen a higher term: this leader's time is over. */
    data object Deposed : ReportAnswer
}

/**
 * The leader's decisions. It does no input or output: it is told what happened and what time it is, and asked what to
 * write, what to send and what to ask of the cloud. Nothing it returns may be carried out after the leader's lease.
 */
class Scheduler(
    settings: Settings,
    term: Long,
    private val log: (String) -> Unit,
) {
    val cluster = Cluster(settings, term, log)
    private val reports = ReportHandler(cluster, log)
    private val round = Round(cluster, log)
    val fleet = FleetManager(cluster, log)

    /** Records whose job has ended; they go when there is room, and a successor finds what is left of them. */
    private val leftOver = LinkedHashSet<Write.SweepRecord>()
    private var lastRaiseMs = Machine.NEVER
    private var raiseNow = false
    private var lastRoundMs = Machine.NEVER
    private var lastHintsMs = Machine.NEVER

    /** Replay has ended; before, reports are answered with the term only. */
    var loaded = false
        private set

    // ---- replay ----

    fun types(
        types: List<MachineType>,
        nowMs: Long,
    ) = fleet.typesRead(types, nowMs)

    fun replayIntent(intent: RentIntent) {
        fleet.intents[intent.plea] = intent
    }

    /** Takes a recorded plan and done-set as outputs of steps that need not run again. */
    fun replayShard(
        jobId: String,
        shard: Int,
        record: ShardRecord,
        nowMs: Long,
    ) {
        val job = cluster.jobs[jobId]
        if (job == null) {
            leftOver.add(Write.SweepRecord(jobId, shard))
            return
        }
        val from = shard * Shards.TASKS
        job.writtenShards.add(shard)
        record.done.stream().forEach {
            job.setDone(from + it)
            job.doneWritten.set(from + it)
        }
        for (g in record.plans) {
            val m = cluster.machines[g.machine] ?: unknownMachine(g.machine, job, nowMs) ?: continue
            for (i in g.indices) {
                if (i >= job.spec.tasks || job.done.get(i)) continue
                if (g.season < m.season) continue
                val a = cluster.occupy(job, i, g.attempt, m, g.season)
                a.everSent = true
                a.moveTo(AttemptState.PLANNED, nowMs)
            }
        }
    }

    /** A record that cannot be read may plan anything anywhere: the job keeps what it has, and gets nothing new. */
    fun replayUnreadable(
        jobId: String,
        shard: Int,
    ) {
        val job = cluster.jobs[jobId] ?: return
        job.writtenShards.add(shard)
        job.unreadable = true
    }

    /** A machine that a plan names but nobody has described: its type is learned later, from its reports or the list. */
    private fun unknownMachine(
        id: String,
        job: Job,
        nowMs: Long,
    ): Machine? {
        val type = job.fits.firstNotNullOfOrNull { cluster.types[it] } ?: cluster.types.values.firstOrNull() ?: return null
        val zone = job.spec.zone ?: type.zones.firstOrNull() ?: return null
        return fleet.machine(id, type.name, zone, false, nowMs)?.also { it.guessed = true }
    }

    /** Takes over what an earlier leader had learned; machines that it does not know are left out. */
    fun recall(hints: Hints) {
        cluster.runTimes.recall(hints.logRatio)
        for ((id, images) in hints.machineImages) {
            val m = cluster.machines[id] ?: continue
            images.forEach { image -> hints.imageGb[image]?.let { m.imageUsed(image, it) } }
        }
    }

    private fun hints(): Hints {
        val sizes = HashMap<String, Double>()
        cluster.machines.values.forEach { sizes.putAll(it.cachedImages) }
        val images =
            cluster.machines.values
                .filter { it.cachedImages.isNotEmpty() }
                .associate { it.id to it.cachedImages.keys.toList() }
        return Hints(sizes, images, cluster.runTimes.ratios.toMap())
    }

    fun replayDone(nowMs: Long) {
        loaded = true
        cluster.replayedAtMs = nowMs
        for (job in cluster.jobs.values) if (job.withdrawn) job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "withdrawn") }
    }

    // ---- jobs ----

    fun jobChanged(
        accepted: AcceptedJob,
        nowMs: Long,
    ) {
        val job = cluster.jobs[accepted.spec.id]
        if (job == null) {
            cluster.jobs[accepted.spec.id] = Job(accepted)
            return
        }
        if (accepted.mark <= job.mark) return
        job.mark = accepted.mark
        job.finishing = false
        if (accepted.withdrawn && !job.withdrawn) {
            job.withdrawn = true
            log("${accepted.spec.id} is withdrawn, ${job.activeAttempts.size} tasks to stop")
            job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "withdrawn") }
        }
    }

    /** The job's key is gone from the store: it is finished, or swept. */
    fun jobRemoved(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs.remove(id) ?: return
        for (a in job.activeAttempts.toList()) {
            cluster.stop(a, nowMs, "job ended")
            if (a.live) cluster.release(a, nowMs, "job ended")
        }
    }

    // ---- workers ----

    fun report(
        report: Report,
        mayAct: Boolean,
        nowMs: Long,
    ): ReportAnswer {
        if (report.termSeen > cluster.term) return ReportAnswer.Deposed
        val bare = ReportAnswer.Orders(cluster.term, emptyList())
        if (!loaded) {
            known(report, nowMs)?.answeredAtMs = nowMs
            return bare
        }
        val m = known(report, nowMs) ?: return bare
        val fresh = reports.take(m, report, checkin = true, nowMs)
        m.answeredAtMs = nowMs
        if (!fresh || !mayAct) return bare
        return ReportAnswer.Orders(cluster.term, reports.orders(m, checkin = true, nowMs))
    }

    private fun known(
        report: Report,
        nowMs: Long,
    ): Machine? {
        val m = fleet.machine(report.machine, report.type, report.zone, report.spot, nowMs)
        if (m == null || !m.guessed) return m
        return fleet.redescribe(m, report.type, report.zone, report.spot, nowMs)
    }

    /** Direct calls to make now: starts that were planned since the worker's last report. */
    fun directCalls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> {
        if (!loaded || most <= 0) return emptyList()
        val calls = ArrayList<DirectCall>()
        var probes = 0
        for (m in cluster.machines.values) {
            if (calls.size >= most) break
            if (m.state != MachineState.UP || m.directInFlight || nowMs < m.directPausedUntilMs) continue
            if (nowMs - m.heardAtMs > Tuning.FRESH_REPORT_MS || m.unansweredTerm >= cluster.term) continue
            if (m.hearing.state == HearingState.DEAF) {
                // Each may take its whole time-out; those that have something to start must not wait behind them.
                if (++probes <= PROBES_AT_ONCE && most > Tuning.MAX_DIRECT_CALLS / 2) probe(m, nowMs)?.let { calls.add(it) }
                continue
            }
            if (m.count(AttemptState.PLANNED) == 0 || m.attempts.none { it.state == AttemptState.PLANNED && !it.job.withdrawn }) continue
            val address = m.address ?: continue
            val orders = reports.orders(m, checkin = false, nowMs)
            if (orders.none { it is Order.Run }) continue
            m.directInFlight = true
            calls.add(DirectCall(m.id, address, cluster.term, m.season, orders))
        }
        return calls
    }

    /** A call without orders, to see whether a deaf machine hears again. As it starts nothing, it need not be fenced. */
    private fun probe(
        m: Machine,
        nowMs: Long,
    ): DirectCall? {
        val address = m.address ?: return null
        m.directInFlight = true
        m.directPausedUntilMs = nowMs + Tuning.DEAF_PROBE_MS
        return DirectCall(m.id, address, cluster.term, m.season, emptyList())
    }

    fun directAnswered(
        call: DirectCall,
        report: Report?,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directInFlight = false
        if (report != null && report.machine == m.id) reports.take(m, report, checkin = false, nowMs)
    }

    fun directUnanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directInFlight = false
        if (call.orders.isEmpty()) return
        m.directPausedUntilMs = nowMs + Tuning.DIRECT_PAUSE_MS
        // The call may be carried out minutes later: until the worker has seen a higher term, absence proves nothing.
        if (sent) m.unansweredTerm = maxOf(m.unansweredTerm, call.term)
        log("no answer from ${m.id} to ${call.orders.size} orders of term ${call.term}; they will go with its next report")
    }

    // ---- time ----

    fun tick(nowMs: Long) {
        if (!loaded) return
        fleet.tick(nowMs)
        fleet.size(nowMs)
    }

    // ---- the store ----

    /**
     * The next transaction: a round of placement first, then whatever is to be written, the urgent first.
     * [ops] is how many writes the pace allows now. Null if there is nothing to write.
     */
    fun nextCommit(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
    ): Commit? {
        if (!loaded || ops <= 0) return null
        if (raiseNow || (cluster.raiseWanted && nowMs - lastRaiseMs >= Tuning.RAISE_TERM_GAP_MS)) {
            return Commit(cluster.term, listOf(Write.RaiseTerm))
        }
        val urgent = cluster.jobs.values.any { it.spec.shape == Shape.SERVICE && !it.withdrawn && it.waitingCount > 0 }
        if (nowMs - lastRoundMs >= if (urgent) Tuning.ROUND_MS else Tuning.ARRAY_ROUND_MS) {
            lastRoundMs = nowMs
            round.run(nowMs, wallMs, Tuning.ROUND_TASKS)
        }
        val writes = ArrayList<Write>()
        var left = ops
        for (job in cluster.jobs.values) {
            if (left <= 0) break
            val cost = 2 + job.writtenShards.size
            if (job.allDone && !job.unreadable && !job.finishing && !job.withdrawn && job.activeAttempts.isEmpty()) {
                if (left < minOf(cost, 2) && writes.isNotEmpty()) continue
                writes.add(Write.Finish(job))
                left -= 2
            }
        }
        val plans =
            cluster.jobs.values
                .filter { it.dirtyPlans.isNotEmpty() && !it.withdrawn && !it.allDone && !it.unreadable }
                .sortedBy { it.spec.priority }
        for (job in plans) {
            for (shard in job.dirtyPlans) {
                if (left <= 0) break
                writes.add(Write.Progress(job, shard, Shards.record(job, shard)))
                left--
            }
        }
        if (left > 0 && fleet.wishes.isNotEmpty()) {
            writes.add(Write.Intend(fleet.wishes.first()))
            left--
        }
        // An intent left behind is carried out again by the next leader, at the cloud's slow pace.
        for (plea in fleet.spentIntents) {
            if (left <= 0) break
            writes.add(Write.DropIntent(plea))
            left--
        }
        val scarce = ops < cluster.settings.txnOps * Tuning.PLENTY_SHARE
        left = addDone(writes, left, if (scarce) Tuning.DONE_BATCH_BUSY_MS else Tuning.DONE_BATCH_MS, nowMs)
        if (left > 0 && nowMs - lastHintsMs >= Tuning.HINTS_MS) {
            lastHintsMs = nowMs
            writes.add(Write.Remember(hints()))
            left--
        }
        writes.addAll(leftOver.take(maxOf(0, left - SWEEP_RESERVE)))
        return if (writes.isEmpty()) null else Commit(cluster.term, writes)
    }

    private fun addDone(
        writes: MutableList<Write>,
        room: Int,
        patienceMs: Long,
        nowMs: Long,
    ): Int {
        var left = room
        for (job in cluster.jobs.values) {
            if (left <= 0) return left
            if (job.withdrawn) {
                if (job.activeAttempts.isEmpty() && !job.finishing) {
                    writes.add(Write.Sweep(job))
                    left -= 1 + job.writtenShards.size
                }
                continue
            }
            if (job.allDone || job.unreadable) continue
            for ((shard, since) in job.stale) {
                if (left <= 0) return left
                if (shard in job.dirtyPlans || nowMs - since < patienceMs) continue
                writes.add(Write.Progress(job, shard, Shards.record(job, shard)))
                left--
            }
        }
        return left
    }

    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) {
        when (result) {
            is CommitResult.Done -> commit.writes.forEach { written(it, result.revision, nowMs) }
            is CommitResult.Conflict -> result.jobs.forEach { id -> cluster.jobs[id]?.let { conflicted(it, nowMs) } }
            CommitResult.Refused -> {}
            CommitResult.Unknown -> raiseNow = true
        }
    }

    /** The job changed under us, by its user's abort; the view will tell. What was never written was never sent. */
    private fun conflicted(
        job: Job,
        nowMs: Long,
    ) {
        job.activeAttempts.filter { it.state == AttemptState.PLANNING }.forEach { cluster.stop(it, nowMs, "the job changed") }
        job.finishing = true
    }

    private fun written(
        write: Write,
        revision: Long,
        nowMs: Long,
    ) {
        when (write) {
            is Write.Progress -> progressWritten(write, nowMs)
            is Write.Finish -> {
                write.job.finishing = true
                log("${write.job.spec.id} is done")
                finished(write.job, nowMs)
            }
            is Write.Sweep -> {
                log("${write.job.spec.id} is swept")
                finished(write.job, nowMs)
            }
            is Write.SweepRecord -> leftOver.remove(write)
            is Write.Intend -> {
                fleet.wishes.remove(write.intent)
                fleet.intents[write.intent.plea] = write.intent
            }
            is Write.Remember -> {}
            is Write.DropIntent -> fleet.spentIntents.remove(write.plea)
            Write.RaiseTerm -> raised(revision, nowMs)
        }
    }

    /** The leader key was rewritten: starts under lower terms are void wherever the new one is seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) {
        log("term ${cluster.term} becomes $term")
        cluster.term = term
        cluster.raiseWanted = false
        raiseNow = false
        lastRaiseMs = nowMs
    }

    private fun finished(
        job: Job,
        nowMs: Long,
    ) {
        job.writtenShards.forEach { leftOver.add(Write.SweepRecord(job.spec.id, it)) }
        jobRemoved(job.spec.id, nowMs)
    }

    private fun progressWritten(
        write: Write.Progress,
        nowMs: Long,
    ) {
        val job = write.job
        val from = write.shard * Shards.TASKS
        job.writtenShards.add(write.shard)
        write.record.done
            .stream()
            .forEach { job.doneWritten.set(from + it) }
        var planned = false
        for (g in write.record.plans) {
            for (i in g.indices) {
                val a = job.attempt(i)?.takeIf { it.number == g.attempt && it.machine.id == g.machine } ?: continue
                if (a.state == AttemptState.PLANNING) {
                    a.moveTo(AttemptState.PLANNED, nowMs)
                    planned = true
                }
            }
        }
        val none = job.count(AttemptState.PLANNING) == 0
        if (!planned || none || job.activeAttempts.none { it.state == AttemptState.PLANNING && Shards.of(it.index) == write.shard }) {
            job.dirtyPlans.remove(write.shard)
        }
        if (job.version(write.shard) == write.record.version) job.stale.remove(write.shard) else job.stale[write.shard] = nowMs
    }

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
    fun summary(): String {
        val by =
            cluster.machines.values
                .groupingBy { it.state }
                .eachCount()
        val free =
            cluster.machines.values
                .filter { it.state == MachineState.UP }
                .sumOf { it.freeCpus }
        val waiting =
            cluster.jobs.values
                .filter { !it.withdrawn }
                .sumOf { it.waitingCount }
        val attempts =
            cluster.machines.values
                .flatMap { it.attempts }
                .groupingBy { it.state }
                .eachCount()
        return "term ${cluster.term}: ${cluster.jobs.size} jobs, attempts $attempts, $waiting waiting, machines $by, ${free.toInt()} CPUs free"
    }

    private companion object {
        /** Deaf machines that are asked in one go. */
        const val PROBES_AT_ONCE = 2

        /** Writes of a transaction that are kept from sweeping, as something urgent may come at any moment. */
        const val SWEEP_RESERVE = 6
    }
}
