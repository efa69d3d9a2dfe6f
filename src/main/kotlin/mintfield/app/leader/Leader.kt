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
 * One tenure of this member as leader: runs the scheduler and carries out its decisions. Its loops live in [scope], which whoever
 * was told by `deposed` cancels; from then on the leader must not be used.
 */
class Leader(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val services: ExternalServices,
    private val replicator: JobReplicator,
    private val tenure: LeaderTenure,
    private val cancellationWatermark: CancellationWatermark,
    /** The shard that it leads; null if machines are not shared. */
    private val shardLeadership: ShardLeadership?,
    private val deposed: (String) -> Unit,
) : Leadership {
    private val settings = services.settings
    private val store = services.store
    private val keys = LeaderKeys(shardLeadership?.shard?.name)

    /** The decisions of this leader. */
    val scheduler =
        Scheduler(
            settings = settings,
            term = tenure.term,
            isRecordedAsCancelled = { replicator.live[it]?.cancelled == true },
            ownership = shardLeadership?.ownership ?: WholeFleet,
            dependencies = replicator.dependencies,
            stateLimits = services.stateLimits,
        ) { Log.info(it) }

    /** By which way the workers' heartbeats come here. */
    val routes = WorkerRoutes(loop, scheduler.cluster)

    /** Passes the changes of jobs on to the scheduler, once the replay has read them. */
    val jobListener = LeaderJobListener(loop, scheduler, ::isScheduledHere, ::wake)

    private val pacer = WritePacer(loop, settings, services.stateLimits)
    private val packer = CommitPacker(keys.leader, WriteEncoder(keys, services.stateLimits, tenure), services.stateLimits)
    private val commits = CommitLoop(loop, services, scheduler, keys.leader, packer, pacer, this, replicator::ended)
    private val directCommands = DirectCommandSender(loop, scope, services, scheduler, ::wake)
    private val replay = Replay(loop, services, replicator, scheduler, keys, ::isScheduledHere)
    private val cloudCalls = CloudCallExecutor(loop, services.cloud, scheduler, this, ::wake)
    private val leaseRenewal = LeaseRenewal(loop, store, tenure, this)

    /** What it does for the shard that it leads; null if machines are not shared. */
    val shardLeader: ShardLeader? = shardLeadership?.createLeader(scheduler)

    private fun isScheduledHere(spec: JobSpec): Boolean {
        val shard = settings.operator.sharding?.ofTeam(spec.team)
        return shard?.name == shardLeadership?.shard?.name
    }

    override fun mayAct(): Boolean = tenure.clock.mayAct(loop.nowMs())

    /** Milliseconds for which the leader's lease certainly still holds; negative once that is past. */
    fun leaseLeftMs(): Long = tenure.clock.leftMs(loop.nowMs())

    /** Gives the leadership up, because of [reason]. The leader key remains until its lease ends. */
    fun resign(reason: String) = deposed(reason)

    /** Ends the lease on which the leader key hangs, so that another can be elected. To be called after [resign]. */
    suspend fun endLease() {
        store.endLease(tenure.lease)
    }

    override fun leaseExpired() = deposed("the lease has ended")

    /** Writes of users wait for the state service: leaves them room for a while. */
    fun yieldToUsers() = pacer.yieldToUsers()

    /** Something may have to be written. */
    fun wake() = commits.wake()

    /** Counts [count] writes that were sent besides the commits. */
    fun wrote(count: Int) = pacer.take(count)

    /** Starts to lead: first the replay, then all the rest. */
    fun start() {
        launchPart("renewal") { leaseRenewal.run() }
        launchPart("replay") {
            shardLeader?.readAssignments()
            replay.run(jobListener)
            startActing()
        }
    }

    private fun startActing() {
        if (shardLeader != null) {
            launchPart("assignments") { shardLeader.changeAssignments(this) }
            launchPart("tasks elsewhere") { shardLeader.followRemoteTasks(this) }
        }
        launchPart("commits") { commits.run { if (mayAct()) directCommands.sendDue() } }
        launchPart("cloud") { cloudCalls.run() }
        launchPart("time") { runTicks() }
        launchPart("view") { replicator.follow() }
    }

    /** Runs [work] in a coroutine of this leader. A leader of which a part has failed would do only half of its work, so it resigns. */
    @Suppress("TooGenericExceptionCaught") // Whatever has failed, a fault of the program included, another leader has to take over.
    private fun launchPart(
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
                deposed("$name failed")
            }
        }
    }

    private suspend fun runTicks() {
        var nextSummaryAtMs = 0L
        while (true) {
            if (mayAct()) scheduler.tick(loop.nowMs())
            if (loop.nowMs() >= nextSummaryAtMs) {
                nextSummaryAtMs = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
                Log.info(scheduler.summary(loop.nowMs()))
            }
            delay(PlacementConstants.TICK_INTERVAL_MS)
        }
    }

    override suspend fun checkLeaderKey() {
        val result = store.get(keys.leader, urgent = true)
        if (result !is StoreResult.Ok) return delay(StoreConstants.STORE_RETRY_MS)
        val entry = result.value
        if (entry == null || !tenure.owns(entry)) return deposed("another leader has come")
        scheduler.termRaised(entry.revision, loop.nowMs())
    }

    /** Answers [heartbeat]; waits for a while if the machine is behind a zone fence, which may be lifted. */
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

    private companion object {
        const val STACK_FRAMES_LOGGED = 6
    }
}
