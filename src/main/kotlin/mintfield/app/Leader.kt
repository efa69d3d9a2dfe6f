package mintfield.app

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.app.sharing.ShareLeader
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.DirectCall
import mintfield.core.ReportAnswer
import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.core.Write
import mintfield.core.jobs.JobListener
import mintfield.core.leadership.CancellationHorizon
import mintfield.core.leadership.DirectReportReturn
import mintfield.core.leadership.LeaseClock
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Report
import mintfield.core.ownership.WholeFleet
import mintfield.io.http.Reply
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.Pacer
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome
import mintfield.io.worker.WorkerCodec

/** Carries out what the scheduler decides, for as long as this member leads. */
class Leader(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val outside: Outside,
    private val view: JobView,
    val nonce: String,
    private val lease: Long,
    private val clock: LeaseClock,
    term: Long,
    private val horizon: CancellationHorizon,
    /** The share that it leads, if machines are shared. */
    val shareLeader: ShareLeader?,
    private val deposed: (String) -> Unit,
) : JobListener {
    private val settings = outside.settings
    private val store = outside.store
    private val keys = LeaderKeys(shareLeader?.share?.name)
    val scheduler = Scheduler(settings, term, { view.live[it]?.withdrawn == true }, shareLeader?.ownership ?: WholeFleet) { Log.info(it) }

    /** Its part of the permitted writes: the leaders of other shares write as well. */
    private val permittedWrites =
        settings.stateWriteRps / (
            settings.operator.sharing
                ?.shares
                ?.size ?: 1
        )
    private val writes = Pacer(loop, permittedWrites * Tuning.LEADER_WRITE_SHARE, settings.txnOps.toDouble())
    private val storeWrites = StoreWrites(keys, settings.valueKb, lease) { leaderValue(settings.member, nonce) }
    private val replay = Replay(loop, outside, view, scheduler, keys, ::schedules)
    private val desk = CloudCalls(loop, outside.cloud, scheduler.fleet)
    private val wake = Channel<Unit>(Channel.CONFLATED)
    private var directCalls = 0

    init {
        shareLeader?.attach(scheduler)
    }

    private fun schedules(spec: JobSpec) =
        settings.operator.sharing
            ?.ofTeam(spec.team)
            ?.name == shareLeader?.share?.name

    fun mayAct() = clock.mayAct(loop.nowMs())

    fun leaseLeftMs() = clock.leftMs(loop.nowMs())

    fun resign(why: String) = deposed(why)

    /** Ends the lease on which the leader key hangs; to be called after it has resigned. */
    suspend fun endLease() {
        store.endLease(lease)
    }

    private val directReturn = DirectReportReturn(scheduler.cluster.timings.relayAfterMs)

    /** Whether the worker was heard by this leader before: one that was not had better be answered first. */
    fun knows(report: Report) = (scheduler.cluster.machines[report.machine]?.heardAtMs ?: 0) > 0

    /** Whether its last report came by way of a sibling. */
    fun relayedBefore(report: Report) = scheduler.cluster.machines[report.machine]?.relayed ?: false

    fun heardDirectly(report: Report) = directReturn.heardDirectly(report.zone, loop.nowMs())

    /** Workers whose first report to this leader was relayed. */
    private val newcomers = HashSet<String>()

    /**
     * Whether a worker whose report was relayed had better come here itself: it may never have tried, or can do so again. One
     * that this leader hears for the first time is answered at once, and sent here with its next report: after
     * a take-over its lease may have used up its time at controllers that did not answer.
     */
    fun comesDirectly(report: Report): Boolean {
        val m = scheduler.cluster.machines[report.machine]
        if (m == null || m.heardAtMs <= 0) {
            newcomers.add(report.machine)
            return false
        }
        if (newcomers.remove(report.machine)) return true
        return directReturn.shouldCome(report.machine, report.zone, loop.nowMs())
    }

    private var yieldUntilMs = 0L

    /** Changes of users wait for the store: leaves them room for a while. */
    fun giveWay() {
        yieldUntilMs = loop.nowMs() + Tuning.YIELD_MS
        writes.rate = permittedWrites * Tuning.LEADER_WRITE_SHARE_YIELDING
    }

    private fun writesAvailable(): Double {
        if (yieldUntilMs > 0 && loop.nowMs() > yieldUntilMs) {
            yieldUntilMs = 0
            writes.rate = permittedWrites * Tuning.LEADER_WRITE_SHARE
        }
        return writes.available
    }

    fun kick() {
        wake.trySend(Unit)
    }

    /** Counts [count] writes that were made besides its commits. */
    fun wrote(count: Int) = writes.take(count.toDouble())

    fun start() {
        part("renewal") { renew() }
        part("replay") {
            shareLeader?.readAssignments()
            replay.run(this)
            shareLeader?.let { share ->
                part("assignments") { share.changeAssignments(this) }
                part("tasks elsewhere") { share.followAwayTasks(this) }
            }
            part("commits") { commitLoop() }
            part("cloud") { cloudLoop() }
            part("time") { tickLoop() }
            part("view") { view.follow() }
        }
    }

    /** A leader of which a part has failed would hold the lead and do only half of its work. */
    private fun part(
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch {
            try {
                work()
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                Log.error("$name failed: $e at ${e.stackTrace.take(6)}")
                delay(Tuning.STORE_RETRY_MS)
                deposed("$name failed")
            }
        }
    }

    private suspend fun renew() {
        while (true) {
            var failed = 0
            delay(Tuning.LEADER_RENEW_MS)
            while (true) {
                val sentAt = loop.nowMs()
                when (val r = store.renewLease(lease)) {
                    is StoreResult.Ok -> if (r.value) clock.renewed(sentAt) else return deposed("the lease has ended")
                    else -> {
                        // In an outage this comes again and again; once a renewal is enough to see how time runs out.
                        if (++failed % LOG_EVERY == 1) Log.info("the lease was not renewed: $r; ${leaseLeftMs()} ms left")
                        delay(Tuning.STORE_RETRY_MS)
                        continue
                    }
                }
                break
            }
        }
    }

    // ---- jobs ----

    override fun changed(job: AcceptedJob) {
        if (!schedules(job.spec)) return
        scheduler.jobChanged(job, loop.nowMs())
        kick()
    }

    override fun removed(id: String) {
        scheduler.jobRemoved(id, loop.nowMs())
    }

    // ---- store ----

    private suspend fun commitLoop() {
        while (true) {
            withTimeoutOrNull(IDLE_WAIT_MS) { wake.receive() }
            while (mayAct()) {
                val ops = minOf(settings.txnOps, writesAvailable().toInt())
                val commit = scheduler.nextCommit(loop.nowMs(), System.currentTimeMillis(), ops, yieldUntilMs > 0) ?: break
                carryOut(commit)
                sendDirect()
                delay(Tuning.ROUND_MS)
            }
            sendDirect()
        }
    }

    private suspend fun carryOut(wanted: Commit) {
        val guards = LinkedHashMap<String, Guard>()
        guards[keys.leader] = Guard(keys.leader, wanted.term)
        val puts = ArrayList<KeyWrite>()
        val taken = ArrayList<Write>()
        var bytes = 0
        for (w in wanted.writes) {
            val writes = storeWrites.keyWrites(w)
            val size = writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + WRITE_OVERHEAD * (writes.size + 2)
            if (puts.isNotEmpty() && (puts.size + writes.size > settings.txnOps || bytes + size > Tuning.MAX_TXN_BYTES)) break
            storeWrites.guardsOf(w).forEach { guards[it.key] = it }
            puts.addAll(writes)
            bytes += size
            taken.add(w)
        }
        scheduler.untaken(wanted.writes.drop(taken.size), loop.nowMs())
        val commit = Commit(wanted.term, taken)
        writes.take(puts.size.toDouble())
        val sentAt = loop.nowMs()
        val result =
            when (val r = store.txn(guards.values.toList(), puts, urgent = true)) {
                is StoreResult.Ok ->
                    when (val o = r.value) {
                        is TxnOutcome.Applied -> CommitResult.Done(o.revision)
                        is TxnOutcome.Failed -> failed(o.keys)
                        TxnOutcome.LeaseGone -> {
                            deposed("the lease has ended")
                            CommitResult.Refused
                        }
                    }

                is StoreResult.Refused -> {
                    Log.debug("a commit of ${puts.size} writes was refused with ${r.status}")
                    if (r.status == TOO_MANY) giveWay()
                    delay(Tuning.STORE_RETRY_MS)
                    CommitResult.Refused
                }

                is StoreResult.Unknown -> {
                    Log.info("no answer to a commit of ${puts.size} writes: ${r.why}; the term will rise")
                    CommitResult.Unknown
                }
            }
        outside.metrics.committed(loop.nowMs() - sentAt)
        scheduler.committed(commit, result, loop.nowMs())
    }

    private suspend fun failed(keys: List<String>): CommitResult {
        if (this.keys.leader in keys) {
            checkLeaderKey()
            return CommitResult.Refused
        }
        return CommitResult.Conflict(keys.mapNotNullTo(HashSet()) { if (it.startsWith(Keys.LIVE)) it.removePrefix(Keys.LIVE) else null })
    }

    /** The leader key is not at our mark: a rewriting of our own without an answer went through, or our time is over. */
    suspend fun checkLeaderKey() {
        when (val r = store.get(keys.leader, urgent = true)) {
            is StoreResult.Ok -> {
                val e = r.value
                if (e == null || e.data["nonce"] != nonce || e.lease != lease) return deposed("another leader has come")
                scheduler.raised(e.mark, loop.nowMs())
            }

            else -> delay(Tuning.STORE_RETRY_MS)
        }
    }

    // ---- workers ----

    /** The answer to a report; it may have to wait until the machine is not disowned any more. */
    suspend fun report(
        report: Report,
        relayed: Boolean,
        parked: Boolean,
    ): ReportAnswer {
        val until = loop.nowMs() + Tuning.DISOWN_WAIT_MS
        while (true) {
            val answer = scheduler.report(report, mayAct(), loop.nowMs(), relayed, parked, horizon.upToMs())
            if (answer != ReportAnswer.NotNow || loop.nowMs() > until) return answer
            kick()
            delay(Tuning.DISOWN_STEP_MS)
        }
    }

    private fun sendDirect() {
        if (!mayAct()) return
        for (call in scheduler.directCalls(loop.nowMs(), scheduler.cluster.bounds.directCalls - directCalls)) {
            directCalls++
            scope.launch {
                try {
                    send(call)
                } finally {
                    directCalls--
                }
            }
        }
    }

    private suspend fun send(call: DirectCall) {
        val client = outside.worker(call.address) ?: return scheduler.directUnanswered(call, sent = false, loop.nowMs())
        val body = WorkerCodec.orders(call.term, call.season, call.orders)
        when (val r = client.call("POST", "/commands", body, Tuning.DIRECT_TIMEOUT_MS)) {
            is Reply.Answer -> {
                val report = if (r.status == 200 || r.status == 409) WorkerCodec.report(r.body) else null
                if (r.status == 409) Log.info("${call.machine} refused orders of term ${call.term}, season ${call.season}")
                scheduler.directAnswered(call, report, loop.nowMs())
                kick()
            }

            is Reply.None -> scheduler.directUnanswered(call, r.sent, loop.nowMs())
        }
    }

    // ---- cloud and time ----

    private suspend fun cloudLoop() {
        while (true) {
            val call = if (mayAct()) scheduler.cloudCall(loop.nowMs()) else null
            if (call == null) {
                delay(IDLE_WAIT_MS)
                continue
            }
            desk.carryOut(call)
            kick()
        }
    }

    private suspend fun tickLoop() {
        var nextSummary = 0L
        while (true) {
            if (mayAct()) scheduler.tick(loop.nowMs())
            if (loop.nowMs() >= nextSummary) {
                nextSummary = loop.nowMs() + Tuning.SUMMARY_MS
                Log.info(scheduler.summary(loop.nowMs()))
            }
            delay(Tuning.TICK_MS)
        }
    }

    companion object {
        private const val IDLE_WAIT_MS = 100L
        private const val LOG_EVERY = 16
        private const val TOO_MANY = 429
        private const val WRITE_OVERHEAD = 110

        fun leaderValue(
            member: String,
            nonce: String,
        ): ByteArray =
            mintfield.io.json.Json.obj {
                writeStringField("member", member)
                writeStringField("nonce", nonce)
            }
    }
}
