package mintfield.app.leader

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.app.replica.JobReplicator
import mintfield.app.sharding.ShardLeader
import mintfield.app.sharding.ShardLeadership
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.jobs.JobListener
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.leadership.DirectRouteRecovery
import mintfield.core.leadership.LeaseClock
import mintfield.core.model.AcceptedJob
import mintfield.core.model.Heartbeat
import mintfield.core.model.JobSpec
import mintfield.core.ownership.WholeFleet
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreResult

/** Carries out what the scheduler decides, for as long as this member leads. */
class Leader(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    val nonce: String,
    private val lease: Long,
    private val clock: LeaseClock,
    term: Long,
    private val cancellationWatermark: CancellationWatermark,
    /** The shard that it leads, if machines are shared. */
    private val shardLeadership: ShardLeadership?,
    private val deposed: (String) -> Unit,
) : JobListener {
    private val settings = services.settings
    private val store = services.store
    private val keys = LeaderKeys(shardLeadership?.shard?.name)
    val scheduler =
        Scheduler(
            settings,
            term,
            { replicator.live[it]?.cancelled == true },
            shardLeadership?.ownership ?: WholeFleet,
            replicator.dependencies,
            services.stateLimits,
        ) { Log.info(it) }

    private val commits =
        CommitLoop(
            loop,
            services,
            keys,
            lease,
            scheduler,
            ::mayAct,
            ::checkLeaderKey,
            ::deposedByLease,
            replicator::ended,
        ) { leaderValue(settings.member, nonce) }
    private val direct = DirectCommandSender(loop, scope, services, scheduler) { commits.wake() }
    private val replay = Replay(loop, services, replicator, scheduler, keys, ::schedules)
    private val cloudCalls = CloudCallExecutor(loop, services.cloud, scheduler.fleet)

    /** What it does for its shard, if machines are shared. */
    val shardLeader: ShardLeader? = shardLeadership?.leader(scheduler)

    private fun schedules(spec: JobSpec) =
        settings.operator.sharding
            ?.ofTeam(spec.team)
            ?.name == shardLeadership?.shard?.name

    fun mayAct() = clock.mayAct(loop.nowMs())

    fun leaseLeftMs() = clock.leftMs(loop.nowMs())

    fun resign(reason: String) = deposed(reason)

    /** Ends the lease on which the leader key hangs; to be called after it has resigned. */
    suspend fun endLease() {
        store.endLease(lease)
    }

    private val directRouteRecovery = DirectRouteRecovery(scheduler.cluster.timings.relayAfterMs)

    /** Whether the worker was heard by this leader before: one that was not had better be answered first. */
    fun hasHeardFrom(heartbeat: Heartbeat) = (scheduler.cluster.machines[heartbeat.machine]?.lastContactAtMs ?: 0) > 0

    /** Whether its last heartbeat came by way of a peer. */
    fun wasRelayed(heartbeat: Heartbeat) =
        scheduler.cluster.machines[heartbeat.machine]
            ?.directRoute
            ?.relayed ?: false

    fun directHeartbeat(heartbeat: Heartbeat) = directRouteRecovery.directHeartbeat(heartbeat.zone, loop.nowMs())

    /** Workers whose first heartbeat to this leader was relayed. */
    private val firstSeenRelayed = HashSet<String>()

    /**
     * Whether a worker whose heartbeat was relayed had better come here itself: it may never have tried, or can do so again. One
     * that this leader hears for the first time is answered at once, and sent here with its next heartbeat: after
     * a failover its lease may have used up its time at controllers that did not answer.
     */
    fun shouldConnectDirectly(heartbeat: Heartbeat): Boolean {
        val m = scheduler.cluster.machines[heartbeat.machine]
        if (m == null || m.lastContactAtMs <= 0) {
            firstSeenRelayed.add(heartbeat.machine)
            return false
        }
        if (firstSeenRelayed.remove(heartbeat.machine)) return true
        return directRouteRecovery.shouldConnectDirectly(heartbeat.machine, heartbeat.zone, loop.nowMs())
    }

    /** Changes of users wait for the store: leaves them room for a while. */
    fun yieldToUsers() = commits.yieldToUsers()

    /** Something may have to be written. */
    fun wake() = commits.wake()

    /** Counts [count] writes that were made besides its commits. */
    fun wrote(count: Int) = commits.wrote(count)

    private fun deposedByLease() = deposed("the lease has ended")

    fun start() {
        part("renewal") { renew() }
        part("replay") {
            shardLeader?.readAssignments()
            replay.run(this)
            shardLeader?.let { shard ->
                part("assignments") { shard.changeAssignments(this) }
                part("tasks elsewhere") { shard.followRemoteTasks(this) }
            }
            part("commits") { commits.run { if (mayAct()) direct.send() } }
            part("cloud") { cloudLoop() }
            part("time") { tickLoop() }
            part("view") { replicator.follow() }
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
                delay(StoreConstants.STORE_RETRY_MS)
                deposed("$name failed")
            }
        }
    }

    private suspend fun renew() {
        while (true) {
            var failed = 0
            delay(LeadershipConstants.LEASE_RENEWAL_INTERVAL_MS)
            while (true) {
                val sentAt = loop.nowMs()
                when (val r = store.renewLease(lease)) {
                    is StoreResult.Ok -> if (r.value) clock.renewed(sentAt) else return deposed("the lease has ended")
                    else -> {
                        // In an outage this comes again and again; once a renewal is enough to see how time runs out.
                        if (++failed % LOG_EVERY == 1) Log.info("the lease was not renewed: $r; ${leaseLeftMs()} ms left")
                        delay(StoreConstants.STORE_RETRY_MS)
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
        wake()
    }

    override fun removed(id: String) {
        scheduler.jobRemoved(id, loop.nowMs())
    }

    override fun becameReady(id: String) {
        scheduler.becameReady(id, loop.nowMs())
        wake()
    }

    override fun dependencyCancelled(id: String) {
        scheduler.dependencyCancelled(id)
        wake()
    }

    // ---- store ----

    /** The leader key is not at our mark: a rewriting of our own without an answer went through, or our time is over. */
    suspend fun checkLeaderKey() {
        when (val r = store.get(keys.leader, urgent = true)) {
            is StoreResult.Ok -> {
                val e = r.value
                if (e == null || e.data["nonce"] != nonce || e.lease != lease) return deposed("another leader has come")
                scheduler.raised(e.revision, loop.nowMs())
            }

            else -> delay(StoreConstants.STORE_RETRY_MS)
        }
    }

    // ---- workers ----

    /** The answer to a heartbeat; it may have to wait until the machine is not fenced any more. */
    suspend fun heartbeat(
        heartbeat: Heartbeat,
        relayed: Boolean,
        viaRelayPeer: Boolean,
    ): HeartbeatResponse {
        val until = loop.nowMs() + FleetConstants.ZONE_FENCE_WAIT_MS
        while (true) {
            val answer = scheduler.heartbeat(heartbeat, mayAct(), loop.nowMs(), relayed, viaRelayPeer, cancellationWatermark.upToMs())
            if (answer != HeartbeatResponse.ZoneFenced || loop.nowMs() > until) return answer
            wake()
            delay(FleetConstants.ZONE_FENCE_WAIT_STEP_MS)
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
            cloudCalls.carryOut(call)
            wake()
        }
    }

    private suspend fun tickLoop() {
        var nextSummary = 0L
        while (true) {
            if (mayAct()) scheduler.tick(loop.nowMs())
            if (loop.nowMs() >= nextSummary) {
                nextSummary = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
                Log.info(scheduler.summary(loop.nowMs()))
            }
            delay(PlacementConstants.TICK_INTERVAL_MS)
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
