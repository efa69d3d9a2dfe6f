package mintfield.app.leader

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CoroutineName
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
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.model.Heartbeat
import mintfield.core.model.JobSpec
import mintfield.core.ownership.WholeFleet
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.LeaderKeys
import mintfield.io.store.StoreResult

/**
 * Leader for one tenure of this controller: runs the scheduler and executes its decisions. Its coroutines run in [scope], which the owner
 * of the leader cancels when `onDeposed` is called. After that call the leader must not be used.
 */
class Leader(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val tenure: LeaderTenure,
    private val cancellationWatermark: CancellationWatermark,
    /** The shard that this leader is elected for; null if the machines are not divided into shards. */
    private val shardLeadership: ShardLeadership?,
    /** Called with the reason when this leader loses or gives up its leadership. */
    private val onDeposed: (String) -> Unit,
) : Leadership {
    private val settings = services.settings
    private val store = services.store
    private val keys = LeaderKeys(shardLeadership?.shard?.name)

    /** Makes the decisions of this leader. */
    val scheduler =
        Scheduler(
            settings = settings,
            term = tenure.term,
            isRecordedAsCancelled = { replicator.unfinishedJobs[it]?.cancelled == true },
            ownership = shardLeadership?.ownership ?: WholeFleet,
            dependencies = replicator.dependencies,
            stateLimits = services.stateLimits,
        ) { Log.info(it) }

    /** The routes, direct or relayed, by which the workers' heartbeats reach this leader. */
    val routes = WorkerRoutes(loop, scheduler.cluster)

    /** Passes job changes on to the scheduler. The replay registers it with the replica once all records are read. */
    val jobListener = LeaderJobListener(loop, scheduler, ::isScheduledHere, ::wake)

    private val pacer = WritePacer(loop, settings, services.stateLimits)
    private val packer = CommitPacker(keys.leader, WriteEncoder(keys, services.stateLimits, tenure), services.stateLimits)
    private val commits = CommitLoop(loop, services, scheduler, keys.leader, packer, pacer, this, replicator::onJobEnded)
    private val directCalls = DirectCallSender(loop, scope, services, scheduler, ::wake)
    private val replay = Replay(loop, services, replicator, scheduler, keys, ::isScheduledHere)
    private val cloudCalls = CloudCallExecutor(loop, services.cloud, scheduler, this, ::wake)
    private val leaseRenewal = LeaseRenewal(loop, store, tenure, this)

    /** Takes part in moves of machines between shards; null if the machines are not divided into shards. */
    val shardLeader: ShardLeader? = shardLeadership?.createLeader(scheduler)

    private fun isScheduledHere(spec: JobSpec): Boolean {
        val shard = settings.operator.sharding?.ofTeam(spec.team)
        return shard?.name == shardLeadership?.shard?.name
    }

    override fun mayAct(): Boolean = tenure.clock.mayAct(loop.nowMs())

    /** Minimum time for which the leader's lease still holds, in milliseconds; negative if it may have expired. */
    fun leaseLeftMs(): Long = tenure.clock.leftMs(loop.nowMs())

    /** Gives up the leadership because of [reason]. The leader key remains until its lease ends. */
    fun resign(reason: String) = onDeposed(reason)

    /** Ends the lease that the leader key is attached to, so that another leader can be elected. Must be called after [resign]. */
    suspend fun endLease() {
        store.endLease(tenure.lease)
    }

    override fun leaseExpired() = onDeposed("the leader lease has expired")

    /** Lowers the rate of this leader's writes for [StoreConstants.LEADER_YIELD_MS], as users' writes wait for the store. */
    fun yieldToUsers() = pacer.yieldToUsers()

    /** Signals that there may be something to commit. */
    fun wake() = commits.wake()

    /** Counts [count] writes that were sent outside the commit loop against the write rate. */
    fun recordWrites(count: Int) = pacer.recordWrites(count)

    /** Starts the renewal of the lease and the replay. The other components start when the replay is complete. */
    fun start() {
        launchComponent("lease renewal") { leaseRenewal.run() }
        launchComponent("replay") {
            shardLeader?.readAssignments()
            replay.run(jobListener)
            startActing()
        }
    }

    private fun startActing() {
        if (shardLeader != null) {
            launchComponent("assignments") { shardLeader.changeAssignments(this) }
            launchComponent("remote tasks") { shardLeader.followRemoteTasks(this) }
        }
        launchComponent("commits") { commits.run { if (mayAct()) directCalls.sendDue() } }
        launchComponent("cloud calls") { cloudCalls.run() }
        launchComponent("ticks") { runTicks() }
        launchComponent("job replica") { replicator.follow() }
    }

    /** Runs [work] in a coroutine of this leader. If it fails, the leader resigns rather than continue without one of its components. */
    @Suppress("TooGenericExceptionCaught") // After any failure, including a bug, another leader must be elected.
    private fun launchComponent(
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch(CoroutineName(name)) {
            try {
                work()
            } catch (e: CancellationException) {
                throw e
            } catch (e: RuntimeException) {
                Log.error("$name failed: $e at ${e.stackTrace.take(STACK_FRAMES_LOGGED)}")
                delay(StoreConstants.STORE_RETRY_MS)
                onDeposed("$name failed")
            }
        }
    }

    private suspend fun runTicks() {
        var nextSummaryAtMs = 0L
        while (true) {
            if (mayAct()) scheduler.tick(loop.nowMs())
            if (loop.nowMs() >= nextSummaryAtMs) {
                nextSummaryAtMs = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
                Log.info("${scheduler.summary(loop.nowMs())}, ${cancellationWatermark.describe(loop.nowMs())}")
            }
            delay(PlacementConstants.TICK_INTERVAL_MS)
        }
    }

    override suspend fun checkLeaderKey() {
        val result = store.get(keys.leader, urgent = true)
        if (result !is StoreResult.Ok) return delay(StoreConstants.STORE_RETRY_MS)
        val entry = result.value
        if (entry == null || !tenure.owns(entry)) return onDeposed("another leader was elected")
        scheduler.termRaised(entry.revision, loop.nowMs())
    }

    /** Responds to [heartbeat]. If the machine's zone is fenced, waits up to [FleetConstants.ZONE_FENCE_WAIT_MS] for the fence to be lifted. */
    suspend fun heartbeat(
        heartbeat: Heartbeat,
        relayed: Boolean,
        viaRelayPeer: Boolean,
    ): HeartbeatResponse {
        val until = loop.nowMs() + FleetConstants.ZONE_FENCE_WAIT_MS
        while (true) {
            val response = scheduler.heartbeat(heartbeat, mayAct(), loop.nowMs(), relayed, viaRelayPeer, cancellationWatermark.upToMs())
            if (response != HeartbeatResponse.ZoneFenced || loop.nowMs() > until) return response
            wake()
            delay(FleetConstants.ZONE_FENCE_WAIT_STEP_MS)
        }
    }

    private companion object {
        const val STACK_FRAMES_LOGGED = 6
    }
}
