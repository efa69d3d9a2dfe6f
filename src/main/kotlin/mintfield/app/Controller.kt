package mintfield.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.api.JobAdmission
import mintfield.app.api.JobStatusService
import mintfield.app.api.JobSubmissionService
import mintfield.app.api.PredecessorLookup
import mintfield.app.api.Progress
import mintfield.app.api.UserApi
import mintfield.app.api.UserWriteBatcher
import mintfield.app.election.LeaderElection
import mintfield.app.election.LeaderElections
import mintfield.app.heartbeat.HeartbeatEndpoint
import mintfield.app.peer.PeerLink
import mintfield.app.replica.JobReplicator
import mintfield.app.sharding.MoveTracerFactory
import mintfield.app.sharding.ShardElection
import mintfield.app.sharding.ShardLeadership
import mintfield.app.sharding.ShardingActivation
import mintfield.app.sharding.ShardingContext
import mintfield.app.upgrade.VersionRecords
import mintfield.core.ConnectionLimits
import mintfield.core.FleetCapacityCheck
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.constants.UserApiConstants
import mintfield.core.leadership.CancellationLog
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.model.Settings
import mintfield.core.model.compatibleMachineTypes
import mintfield.core.ownership.ForeignTaskAnswer
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.PeerLiveness
import mintfield.core.ownership.ShardLoad
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardSuccession
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpServer
import mintfield.io.http.Response
import mintfield.io.http.parseAddress
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.scope
import mintfield.io.ownership.ForeignTaskCodec
import java.nio.channels.AsynchronousChannelGroup
import kotlin.random.Random

/** One controller: everything wired together. */
class Controller(
    private val settings: Settings,
) : PeerLink.Owner {
    private val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    private val services = ExternalServices(settings, loop, group)
    private val checkGapMs = (1000 / (settings.stateRps * StoreConstants.FRESHNESS_CHECK_FRACTION)).toLong()
    private val replicator =
        JobReplicator(services.store, scope, checkGapMs, loop::nowMs) { compatibleMachineTypes(it.spec, services.types.values) }
    private val cancellationWatermark = CancellationWatermark(settings.peers.map { it.member })
    private val cancellations = CancellationLog(Random.nextLong(), CancellationLog.Size.of(settings))
    private val sharding =
        settings.operator.sharding?.let {
            ShardingContext(it, services.store, { id -> replicator.live[id]?.spec }, ::leaderOf, loop::nowMs, MoveTracerFactory.create(settings))
        }
    private val activation = ShardingActivation(services.store)
    private val succession = ShardSuccession(settings.member, ObservedPeers()) { sharding?.assignments?.drained.orEmpty() }
    private val elections = LeaderElections(members(), sharding)
    private val changes =
        UserWriteBatcher(loop, scope, services.store, services.stateLimits)
    private val versions = VersionRecords(settings, services.store, loop)
    private val peers = PeerLink(loop, scope, settings, services, this)
    private val answers = JobStatusService(services.store, replicator, ::progress, cancellations::append) { peers.isStoreUnreachable() }
    private val predecessors = PredecessorLookup(services.store, replicator)
    private val admission = JobAdmission(settings.teams) { services.types.values }
    private val submissions =
        JobSubmissionService(admission, replicator, answers, changes, predecessors, versions, services.stateLimits) { peers.isStoreUnreachable() }
    private val users = UserApi(answers, submissions, replicator, changes, services.stateLimits)
    private val heartbeats = HeartbeatEndpoint(loop, settings, peers, elections)
    private val bounds = ConnectionLimits(settings)
    private val clientServer = HttpServer(loop, scope, group, bounds.incoming, ::client)

    private fun members(): List<LeaderElection> {
        val shared = sharding ?: return listOf(LeaderElection(loop, scope, services, replicator, cancellationWatermark) { peers.announce() })
        return shared.settings.shards.map { memberOf(shared, it) }
    }

    private fun memberOf(
        shared: ShardingContext,
        shard: ShardSettings,
    ): LeaderElection {
        val campaignDelayMs = { succession.campaignDelayMs(shard, elections.leaders.size) }
        val part = ShardElection(shard, activation, campaignDelayMs) { ShardLeadership(shared, shard, loop, services.store, ::queryForeignTasks) }
        return LeaderElection(loop, scope, services, replicator, cancellationWatermark, part) { peers.announce() }
    }

    /** The peers, as far as they are heard here. */
    private inner class ObservedPeers : PeerLiveness {
        override val names get() = settings.peers.map { it.member }

        override fun isUpAndServed(peer: String) = peers.upAndServed(peer)
    }

    private fun leaderOf(shard: String): String? = elections.leaderOf(shard)

    fun run() {
        FleetCapacityCheck(settings).shortcomings(Runtime.getRuntime().maxMemory()).forEach(Log::info)
        loop.start()
        loop.post {
            scope.launch { HttpServer(loop, scope, group, bounds.fromPeers, peers::receive).startWhenFree(parseAddress(settings.internalAddress)!!) }
            services.store.onContact = peers::storeContact
            replicator.onComplete = cancellationWatermark::viewed
            changes.onCongestion = ::peerCongested
            sharding?.let { scope.launch { it.assignments.follow() } }
            elections.members.forEach { scope.launch { it.run() } }
            if (sharding != null) scope.launch { transferShards() }
            scope.launch { prepare() }
            scope.launch { lookForStore() }
            scope.launch { watchOver() }
            peers.start()
            scope.launch { serveClients() }
        }
        loop.join()
    }

    /** Ends this node at once, as a kill would; for tests that run several in one process. */
    fun stop() {
        loop.stop()
        group.shutdownNow()
    }

    /** Runs [task] between this node's own events; for tests that make a node stand still. */
    internal fun runOnLoop(task: Runnable) = loop.post(task)

    /**
     * Opens the clients' port once it is known who leads. Until then every worker would be turned away, and to do that for all
     * of them, several times a second, is what keeps a small controller from finding out.
     */
    private suspend fun serveClients() {
        val until = loop.nowMs() + LeadershipConstants.LISTEN_DELAY_WITHOUT_LEADER_MS
        while (!elections.anyKnown && loop.nowMs() < until) delay(LeadershipConstants.LEADER_KNOWN_CHECK_MS)
        clientServer.startWhenFree(parseAddress(settings.clientListen)!!)
        Log.info("${settings.member} in ${settings.zone} serves ${settings.clientListen}")
    }

    private suspend fun prepare() {
        while (services.types.isEmpty()) {
            services.readTypes()
            if (services.types.isEmpty()) delay(FleetConstants.CLOUD_RETRY_MS)
        }
        while (!replicator.loaded) if (!replicator.current()) delay(StoreConstants.STORE_RETRY_MS)
        versions.record()
    }

    /** Gives up shares that another controller should lead: their homes, or any other if this one is drained. */
    private suspend fun transferShards() {
        while (true) {
            delay(PeerConstants.HEALTH_CHECK_MS)
            for (member in elections.members) {
                val shard = member.shard ?: continue
                if (member.leader != null) succession.transferDue(shard, loop.nowMs())?.let { member.transferLeadership(it.reason) }
            }
        }
    }

    /** While the store cannot be reached users are refused without asking it; so something else must notice its return. */
    private suspend fun lookForStore() {
        while (true) {
            delay(StoreConstants.STORE_RETRY_MS * 2)
            if (peers.isStoreUnavailable()) replicator.current()
        }
    }

    /** What a person on call must be able to see of any controller: that it stood still, what it is asked, who is silent. */
    private suspend fun watchOver() {
        var place: String? = null
        var summaryAt = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
        while (true) {
            val from = loop.nowMs()
            delay(PeerConstants.HEALTH_CHECK_MS)
            val lost = loop.nowMs() - from - PeerConstants.HEALTH_CHECK_MS
            if (lost > PeerConstants.PAUSE_LOG_THRESHOLD_MS) Log.info("this controller was paused for $lost ms")
            val now = if (elections.leaders.isNotEmpty()) heartbeats.relayPeer() else null
            if (now != place) {
                place = now
                Log.info(
                    if (now !=
                        null
                    ) {
                        "the controller after this one: zone unresponsive, workers report to $now"
                    } else {
                        "workers may send heartbeats here again"
                    },
                )
            }
            if (loop.nowMs() < summaryAt) continue
            summaryAt = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
            services.metrics.takeSummary().let { if (it.isNotEmpty()) Log.info(it) }
        }
    }

    private suspend fun client(request: HttpMessage): Response {
        val path = request.second
        return when {
            path == "/checkin" -> only("POST", request) { closingWhenCongested(heartbeats.receive(request.body)) }
            path == "/ready" -> only("GET", request) { ready() }
            path.startsWith("/v1/jobs") -> peers.relayUser(request) ?: user(request)
            else -> Response.error(404, "no such path")
        }
    }

    /** With few sockets left a worker's connection is closed after its answer, so that there is room for the next worker. */
    private fun closingWhenCongested(response: Response): Response =
        if (clientServer.connectionCount >= bounds.shortConnectionsFrom) response.closing() else response

    private suspend fun user(request: HttpMessage): Response {
        val path = request.second
        return when {
            path == "/v1/jobs" -> only("POST", request) { timed(services.metrics::accepted) { users.submit(request) } }
            path.startsWith(JOB_PATH) && path.endsWith("/abort") ->
                only("POST", request) { users.abort(path.substring(JOB_PATH.length, path.length - "/abort".length)) }
            path.startsWith(JOB_PATH) -> only("GET", request) { timed(services.metrics::polled) { users.poll(path.substring(JOB_PATH.length)) } }
            else -> Response.error(404, "no such path")
        }
    }

    private inline fun timed(
        record: (Long) -> Unit,
        action: () -> Response,
    ): Response {
        val from = loop.nowMs()
        return action().also { record(loop.nowMs() - from) }
    }

    private inline fun only(
        method: String,
        request: HttpMessage,
        action: () -> Response,
    ): Response =
        if (request.first == method) {
            action()
        } else {
            val plain = Response.error(405, "only $method is served here")
            Response(405, plain.body, allow = method)
        }

    private fun ready(): Response =
        when {
            !replicator.loaded || services.types.isEmpty() -> Response.error(503, "starting", UserApiConstants.RETRY_AFTER_S)
            peers.isolation.isRefusedAlone(loop.nowMs()) -> Response.error(503, "the state service refuses this node alone", UserApiConstants.RETRY_AFTER_S)
            peers.isolation.isCutOff(
                loop.nowMs(),
            ) -> Response.error(503, "cut off from the state service and the other controllers", UserApiConstants.RETRY_AFTER_S)
            else -> Response(200, Json.obj { writeBooleanField("ready", true) })
        }

    override suspend fun relayedUser(
        method: String,
        path: String,
        body: ByteArray,
    ) = user(HttpMessage(method, path, "HTTP/1.1", emptyMap(), body))

    override suspend fun relayed(body: ByteArray) = heartbeats.relayed(body)

    override fun leadingTerms() = elections.terms()

    override fun congested() = changes.congested

    override fun peerCongested() {
        elections.leaders.forEach { it.yieldToUsers() }
    }

    override fun peerLeads(
        member: String,
        shard: String,
        term: Long,
    ) = elections.peerLeads(member, shard, term)

    override fun loadOf(shard: String): ShardLoad? {
        val load =
            elections
                .member(shard)
                ?.leader
                ?.shardLeader
                ?.load() ?: return null
        // Leaders of other shares in this process learn it here, as peers do by the note.
        peerLoad(shard, load)
        return load
    }

    override fun peerLoad(
        shard: String,
        load: ShardLoad,
    ) {
        sharding?.loadReported(shard, load)
    }

    override fun foreignTasksQueried(body: ByteArray): ByteArray? {
        val (shard, queries) = ForeignTaskCodec.decodeQueries(body) ?: return null
        return elections
            .member(shard)
            ?.leader
            ?.shardLeader
            ?.answer(queries)
            ?.let(ForeignTaskCodec::encodeAnswers)
    }

    /** Asks the leader of [shard], here or at a peer. */
    private suspend fun queryForeignTasks(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskAnswer>? {
        elections
            .member(shard)
            ?.leader
            ?.shardLeader
            ?.let { return it.answer(queries) }
        val controller = leaderOf(shard) ?: return null
        return peers.queryForeignTasks(controller, ForeignTaskCodec.encodeQueries(shard, queries))?.let(ForeignTaskCodec::decodeAnswers)
    }

    override fun peerRuns(
        member: String,
        generation: Int,
    ) = versions.announced(member, generation)

    override fun cancellationsAfter(
        incarnation: Long,
        next: Long,
    ) = cancellations.after(incarnation, next)

    override fun cancellationsRead(peer: String) = cancellationWatermark.progressOf(peer)

    override fun peerCancelled(
        member: String,
        page: CancellationPage,
        askedAtMs: Long,
    ) {
        cancellationWatermark.answered(member, page, askedAtMs, loop.nowMs())
        for (leader in elections.leaders) page.ids.forEach { leader.scheduler.cancellationConfirmedByPeer(it, loop.nowMs()) }
    }

    private fun progress(id: String): Progress? {
        val leaders = elections.leaders
        for (leader in leaders) {
            leader.scheduler.cluster.jobs[id]
                ?.let { return Progress(it.doneTasks, leader.scheduler.runningCount(it)) }
        }
        return if (leaders.isEmpty() || sharding != null) peers.progress(id) else null
    }

    /** What the leader tells its peers of each job, for display. */
    override fun progressNote(): Map<String, Progress> {
        val progress = LinkedHashMap<String, Progress>()
        for (leader in elections.leaders) {
            leader.scheduler.cluster.jobs.values
                .forEach { progress[it.id] = Progress(it.doneTasks, leader.scheduler.runningCount(it)) }
        }
        return progress
    }

    private companion object {
        const val JOB_PATH = "/v1/jobs/"
    }
}
