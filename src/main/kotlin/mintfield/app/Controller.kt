package mintfield.app

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.api.ClientRoutes
import mintfield.app.api.JobAdmission
import mintfield.app.api.JobProgressView
import mintfield.app.api.JobStatusService
import mintfield.app.api.JobSubmissionService
import mintfield.app.api.PredecessorLookup
import mintfield.app.api.UserApi
import mintfield.app.api.UserWriteBatcher
import mintfield.app.election.LeaderElection
import mintfield.app.election.LeaderElections
import mintfield.app.heartbeat.HeartbeatEndpoint
import mintfield.app.peer.PeerHealth
import mintfield.app.peer.PeerProgressTable
import mintfield.app.peer.PeerRelay
import mintfield.app.peer.PeerServer
import mintfield.app.peer.PeerStatusSender
import mintfield.app.replica.CurrentJobReader
import mintfield.app.replica.JobReplicator
import mintfield.app.sharding.ForeignTaskRouter
import mintfield.app.sharding.MoveTracerFactory
import mintfield.app.sharding.ShardElection
import mintfield.app.sharding.ShardLeadership
import mintfield.app.sharding.ShardTransfers
import mintfield.app.sharding.ShardingActivation
import mintfield.app.sharding.ShardingContext
import mintfield.app.upgrade.VersionRecords
import mintfield.core.ConnectionLimits
import mintfield.core.FleetCapacityCheck
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.leadership.CancellationLog
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.leadership.ConfirmedCancellations
import mintfield.core.model.Settings
import mintfield.core.model.compatibleMachineTypes
import mintfield.core.ownership.PeerLiveness
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardSuccession
import mintfield.io.http.HttpServer
import mintfield.io.http.parseAddress
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.scope
import java.nio.channels.AsynchronousChannelGroup
import kotlin.random.Random

/** One controller process: creates its components, connects them, and runs them until it is stopped. */
class Controller(
    private val settings: Settings,
) {
    private val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    private val services = ExternalServices(settings, loop, group)
    private val freshnessCheckIntervalMs = (TimeUnits.MS_PER_SECOND / (settings.stateRps * StoreConstants.FRESHNESS_CHECK_FRACTION)).toLong()
    private val replicator =
        JobReplicator(services.store, scope, freshnessCheckIntervalMs, loop::nowMs, services.metrics::recordJobRead) {
            compatibleMachineTypes(it.spec, services.types.values)
        }
    private val cancellationWatermark = CancellationWatermark(settings.peers.map { it.member })
    private val cancellationLog = CancellationLog(Random.nextLong(), CancellationLog.Size.of(settings))
    private val cancellations = ConfirmedCancellations(cancellationLog, cancellationWatermark, ::notifyLeadersOfCancellation)

    private val health = PeerHealth(loop::nowMs)
    private val relay = PeerRelay(loop, settings, services, health)
    private val peerProgress = PeerProgressTable(loop::nowMs)

    private val sharding =
        settings.operator.sharding?.let {
            ShardingContext(it, services.store, { id -> replicator.unfinishedJobs[id]?.spec }, ::leaderOf, loop::nowMs, MoveTracerFactory.create(settings))
        }
    private val activation = ShardingActivation(services.store)
    private val succession = ShardSuccession(settings.member, ObservedPeers()) { sharding?.assignments?.drained.orEmpty() }
    private val foreignTasks = ForeignTaskRouter(relay) { elections }
    private val elections: LeaderElections = LeaderElections(createElections(), sharding)

    private val progress = JobProgressView(elections, peerProgress, sharded = sharding != null)
    private val userWrites = UserWriteBatcher(loop, scope, services.store, services.stateLimits)
    private val versions = VersionRecords(settings, services.store, loop)
    private val currentJobs = CurrentJobReader(services.store, replicator, health::isStoreUnreachable)
    private val statuses = JobStatusService(currentJobs, replicator, progress::of, ::cancellationConfirmed)
    private val predecessors = PredecessorLookup(currentJobs, replicator, loop::nowMs)
    private val admission = JobAdmission(settings.teams) { services.types.values }
    private val submissions =
        JobSubmissionService(admission, replicator, statuses, userWrites, predecessors, versions, services.stateLimits, health::isStoreUnreachable)
    private val users = UserApi(statuses, submissions, replicator, userWrites, services.stateLimits)
    private val heartbeats = HeartbeatEndpoint(loop, settings, health, relay, elections)

    private val limits = ConnectionLimits(settings)
    private val readiness = Readiness(loop, replicator, services, health)
    private val routes = ClientRoutes(loop, heartbeats, users, relay, readiness, services.metrics, ::isShortOfSockets)
    private val clientServer = HttpServer(loop, scope, group, limits.incoming, routes::receive)

    private val status = ControllerStatus(loop, elections, progress, userWrites, sharding, cancellations)
    private val statusSender = PeerStatusSender(loop, scope, settings, relay, health, status)
    private val peerRequests = PeerRequests(elections, routes, heartbeats, foreignTasks, sharding, versions, cancellationLog)
    private val peerServer = PeerServer(health, peerProgress, peerRequests)

    private fun createElections(): List<LeaderElection> {
        val context = sharding ?: return listOf(LeaderElection(loop, scope, services, replicator, cancellationWatermark) { statusSender.announce() })
        return context.settings.shards.map { createElection(context, it) }
    }

    private fun createElection(
        context: ShardingContext,
        shard: ShardSettings,
    ): LeaderElection {
        val campaignDelayMs = { succession.campaignDelayMs(shard, elections.leaders.size) }
        val part = ShardElection(shard, activation, campaignDelayMs) { ShardLeadership(context, shard, loop, services.store, foreignTasks) }
        return LeaderElection(loop, scope, services, replicator, cancellationWatermark, part) { statusSender.announce() }
    }

    private fun cancellationConfirmed(id: String) {
        if (cancellations.confirmedHere(id)) Log.info("$id: cancellation confirmed to a user")
    }

    private fun jobRecordsRead(sentAtMs: Long) {
        cancellationWatermark.storeReadCompleted(sentAtMs)
        elections.leaders.forEach { it.scheduler.jobRecordsRead(sentAtMs) }
    }

    private fun notifyLeadersOfCancellation(id: String) = elections.leaders.forEach { it.scheduler.cancellationConfirmed(id, loop.nowMs()) }

    /** The liveness of the peers, as input to the succession of shards. */
    private inner class ObservedPeers : PeerLiveness {
        override val names get() = settings.peers.map { it.member }

        override fun isUpAndServed(peer: String) = health.isUpAndServed(peer)
    }

    private fun leaderOf(shard: String): String? = elections.leaderOf(shard)

    private fun isShortOfSockets(): Boolean = clientServer.connectionCount >= limits.keepAliveLimit

    /** Runs the controller and blocks the calling thread until [stop] is called. */
    fun run() {
        FleetCapacityCheck(settings).shortages(Runtime.getRuntime().maxMemory()).forEach(Log::info)
        loop.start()
        loop.post { start() }
        loop.join()
    }

    private fun start() {
        launch("peer port") { HttpServer(loop, scope, group, limits.peerConnections, peerServer::receive).startWhenFree(address(settings.internalAddress)) }
        services.store.onContact = health::storeContact
        replicator.onComplete = ::jobRecordsRead
        userWrites.onCongestion = elections::yieldToUsers
        sharding?.let { context -> launch("assignments") { context.assignments.follow() } }
        elections.all.forEach { election -> launch("election ${election.shard?.name.orEmpty()}".trim()) { election.run() } }
        if (sharding != null) launch("shard transfers") { ShardTransfers(loop, elections, succession).run() }
        launch("initial reads") { readInitialState() }
        launch("store recovery") { detectStoreRecovery() }
        launch("monitor") { ControllerMonitor(loop, elections, heartbeats, services.metrics).run() }
        statusSender.start()
        launch("client port") { serveClients() }
    }

    private fun launch(
        name: String,
        work: suspend () -> Unit,
    ) {
        scope.launch(CoroutineName(name)) { work() }
    }

    /** Stops this controller immediately, without any shutdown procedure, like a kill of its process. For tests that run several in one process. */
    fun stop() {
        loop.stop()
        group.shutdownNow()
    }

    /** Runs [task] on the event loop of this controller. For tests that pause a controller. */
    internal fun runOnLoop(task: Runnable) = loop.post(task)

    /**
     * Opens the client port once a leader is known, or after [LeadershipConstants.LISTEN_DELAY_WITHOUT_LEADER_MS] without one. Without a
     * known leader each worker is refused and retries several times a second, a load that delays a small controller in finding the leader.
     */
    private suspend fun serveClients() {
        val deadlineMs = loop.nowMs() + LeadershipConstants.LISTEN_DELAY_WITHOUT_LEADER_MS
        while (!elections.isAnyLeaderKnown && loop.nowMs() < deadlineMs) delay(LeadershipConstants.LEADER_KNOWN_CHECK_MS)
        clientServer.startWhenFree(address(settings.clientListen))
        Log.info("controller ${settings.member} in zone ${settings.zone} serves ${settings.clientListen}")
    }

    /** Reads the machine types and the unfinished jobs, without which no user can be served, and then records the version of this controller. */
    private suspend fun readInitialState() {
        while (services.types.isEmpty()) {
            services.readTypes()
            if (services.types.isEmpty()) delay(FleetConstants.CLOUD_RETRY_MS)
        }
        while (!replicator.isLoaded) if (!replicator.awaitCurrent()) delay(StoreConstants.STORE_RETRY_MS)
        versions.record()
    }

    /** Polls the store while it is unavailable. User requests are then refused without calling it, so they cannot detect its recovery. */
    private suspend fun detectStoreRecovery() {
        while (true) {
            delay(StoreConstants.STORE_RETRY_MS * 2)
            if (health.isStoreUnavailable()) replicator.awaitCurrent()
        }
    }

    private fun address(text: String) = requireNotNull(parseAddress(text)) { "invalid address, expected HOST:PORT: $text" }
}
