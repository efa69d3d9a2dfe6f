package mintfield.app

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.sharing.ShareLeader
import mintfield.core.ReportAnswer
import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.core.jobs.JobListener
import mintfield.core.leadership.CancellationHorizon
import mintfield.core.leadership.DirectReportReturn
import mintfield.core.leadership.LeaseClock
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Report
import mintfield.core.ownership.WholeFleet
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreResult

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
    val scheduler =
        Scheduler(
            settings,
            term,
            { view.live[it]?.withdrawn == true },
            shareLeader?.ownership ?: WholeFleet,
            view.dependencies,
            outside.stateLimits,
        ) { Log.info(it) }

    private val commits =
        LeaderCommits(loop, outside, keys, lease, scheduler, ::mayAct, ::checkLeaderKey, ::deposedByLease, view::ended) { leaderValue(settings.member, nonce) }
    private val direct = DirectCommandSender(loop, scope, outside, scheduler) { commits.kick() }
    private val replay = Replay(loop, outside, view, scheduler, keys, ::schedules)
    private val desk = CloudCalls(loop, outside.cloud, scheduler.fleet)

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

    /** Changes of users wait for the store: leaves them room for a while. */
    fun giveWay() = commits.giveWay()

    /** Something may have to be written. */
    fun kick() = commits.kick()

    /** Counts [count] writes that were made besides its commits. */
    fun wrote(count: Int) = commits.wrote(count)

    private fun deposedByLease() = deposed("the lease has ended")

    fun start() {
        part("renewal") { renew() }
        part("replay") {
            shareLeader?.readAssignments()
            replay.run(this)
            shareLeader?.let { share ->
                part("assignments") { share.changeAssignments(this) }
                part("tasks elsewhere") { share.followAwayTasks(this) }
            }
            part("commits") { commits.run { if (mayAct()) direct.send() } }
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

    override fun becameReady(id: String) {
        scheduler.becameReady(id, loop.nowMs())
        kick()
    }

    override fun becameDoomed(id: String) {
        scheduler.becameDoomed(id)
        kick()
    }

    // ---- store ----

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
