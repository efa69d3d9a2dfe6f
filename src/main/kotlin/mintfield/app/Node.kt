package mintfield.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.pipelines.PredecessorLookup
import mintfield.app.sharing.MoveTracing
import mintfield.app.sharing.ShareLeader
import mintfield.app.sharing.SharePart
import mintfield.app.sharing.SharingActivation
import mintfield.app.sharing.SharingNode
import mintfield.app.upgrade.VersionRecords
import mintfield.core.FleetRoom
import mintfield.core.SocketBounds
import mintfield.core.Tuning
import mintfield.core.leadership.CancellationHorizon
import mintfield.core.leadership.CancellationLog
import mintfield.core.leadership.CancellationPage
import mintfield.core.model.Settings
import mintfield.core.model.fittingTypes
import mintfield.core.ownership.GuestAnswer
import mintfield.core.ownership.GuestQuery
import mintfield.core.ownership.ShareLoad
import mintfield.core.ownership.ShareSettings
import mintfield.core.ownership.ShareSuccession
import mintfield.core.ownership.Siblings
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpServer
import mintfield.io.http.Response
import mintfield.io.http.parseAddress
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.scope
import mintfield.io.ownership.GuestCodec
import mintfield.io.peer.PeerLink
import java.nio.channels.AsynchronousChannelGroup
import kotlin.random.Random

/** One controller: everything wired together. */
class Node(
    private val settings: Settings,
) : PeerLink.Owner {
    private val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    private val outside = Outside(settings, loop, group)
    private val checkGapMs = (1000 / (settings.stateRps * Tuning.CHECK_SHARE)).toLong()
    private val view =
        JobView(outside.store, scope, checkGapMs, loop::nowMs) { fittingTypes(it.spec, outside.types.values) }
    private val horizon = CancellationHorizon(settings.siblings.map { it.member })
    private val cancellations = CancellationLog(Random.nextLong(), CancellationLog.Size.of(settings))
    private val sharing =
        settings.operator.sharing?.let {
            SharingNode(it, outside.store, { id -> view.live[id]?.spec }, ::leaderOf, loop::nowMs, MoveTracing.of(settings))
        }
    private val activation = SharingActivation(outside.store)
    private val succession = ShareSuccession(settings.member, PeerSiblings()) { sharing?.assignments?.drained.orEmpty() }
    private val leaderships = Leaderships(members(), sharing)
    private val changes =
        ChangeWriter(loop, scope, outside.store, outside.stateLimits)
    private val versions = VersionRecords(settings, outside.store, loop)
    private val peers = PeerLink(loop, scope, settings, outside, this)
    private val answers = JobAnswers(outside.store, view, ::progress, cancellations::telling) { peers.storeCut() }
    private val predecessors = PredecessorLookup(outside.store, view)
    private val submissions =
        JobSubmissions(settings, view, answers, changes, predecessors, versions, outside.stateLimits, { outside.types.values }) { peers.storeCut() }
    private val users = UserApi(answers, submissions, view, changes, outside.stateLimits)
    private val reports = WorkerReports(loop, settings, peers, leaderships)
    private val bounds = SocketBounds(settings)
    private val clientServer = HttpServer(loop, scope, group, bounds.incoming, ::client)

    private fun members(): List<Member> {
        val shared = sharing ?: return listOf(Member(loop, scope, outside, view, horizon) { peers.announce() })
        return shared.settings.shares.map { memberOf(shared, it) }
    }

    private fun memberOf(
        shared: SharingNode,
        share: ShareSettings,
    ): Member {
        val standDelayMs = { succession.standDelayMs(share, leaderships.leaders.size) }
        val part = SharePart(share, activation, standDelayMs) { ShareLeader(shared, share, loop, outside.store, ::askGuests) }
        return Member(loop, scope, outside, view, horizon, part) { peers.announce() }
    }

    /** The siblings, as far as they are heard here. */
    private inner class PeerSiblings : Siblings {
        override val names get() = settings.siblings.map { it.member }

        override fun isUpAndServed(sibling: String) = peers.upAndServed(sibling)
    }

    private fun leaderOf(share: String): String? = leaderships.leaderOf(share)

    fun run() {
        FleetRoom(settings).shortcomings(Runtime.getRuntime().maxMemory()).forEach(Log::info)
        loop.start()
        loop.post {
            scope.launch { HttpServer(loop, scope, group, bounds.fromSiblings, peers::receive).startWhenFree(parseAddress(settings.internalAddress)!!) }
            outside.store.onContact = peers::storeContact
            view.onComplete = horizon::viewed
            changes.onCrowded = ::siblingCrowded
            sharing?.let { scope.launch { it.assignments.follow() } }
            leaderships.members.forEach { scope.launch { it.run() } }
            if (sharing != null) scope.launch { giveUpShares() }
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
        val until = loop.nowMs() + Tuning.LISTEN_WITHOUT_LEADER_MS
        while (!leaderships.anyKnown && loop.nowMs() < until) delay(Tuning.LISTEN_STEP_MS)
        clientServer.startWhenFree(parseAddress(settings.clientListen)!!)
        Log.info("${settings.member} in ${settings.zone} serves ${settings.clientListen}")
    }

    private suspend fun prepare() {
        while (outside.types.isEmpty()) {
            outside.readTypes()
            if (outside.types.isEmpty()) delay(Tuning.CLOUD_RETRY_MS)
        }
        while (!view.loaded) if (!view.current()) delay(Tuning.STORE_RETRY_MS)
        versions.record()
    }

    /** Gives up shares that another controller should lead: their homes, or any other if this one is drained. */
    private suspend fun giveUpShares() {
        while (true) {
            delay(Tuning.WATCH_MS)
            for (member in leaderships.members) {
                val share = member.share ?: continue
                if (member.leader != null) succession.reasonToGiveUp(share, loop.nowMs())?.let { member.handBack(it) }
            }
        }
    }

    /** While the store cannot be reached users are refused without asking it; so something else must notice its return. */
    private suspend fun lookForStore() {
        while (true) {
            delay(Tuning.STORE_RETRY_MS * 2)
            if (peers.storeSilent()) view.current()
        }
    }

    /** What a person on call must be able to see of any controller: that it stood still, what it is asked, who is silent. */
    private suspend fun watchOver() {
        var place: String? = null
        var summaryAt = loop.nowMs() + Tuning.SUMMARY_MS
        while (true) {
            val from = loop.nowMs()
            delay(Tuning.WATCH_MS)
            val lost = loop.nowMs() - from - Tuning.WATCH_MS
            if (lost > Tuning.STOOD_STILL_MS) Log.info("this controller stood still for $lost ms")
            val now = if (leaderships.leaders.isNotEmpty()) reports.parkedAt() else null
            if (now != place) {
                place = now
                Log.info(if (now != null) "the controller after this one is silent: workers report to $now" else "workers may report here again")
            }
            if (loop.nowMs() < summaryAt) continue
            summaryAt = loop.nowMs() + Tuning.SUMMARY_MS
            outside.metrics.takeSummary().let { if (it.isNotEmpty()) Log.info(it) }
        }
    }

    private suspend fun client(request: HttpMessage): Response {
        val path = request.second
        return when {
            path == "/checkin" -> only("POST", request) { shortWhenCrowded(reports.checkin(request.body)) }
            path == "/ready" -> only("GET", request) { ready() }
            path.startsWith("/v1/jobs") -> peers.relayUser(request) ?: user(request)
            else -> Response.error(404, "no such path")
        }
    }

    /** With few sockets left a worker's connection is closed after its answer, so that there is room for the next worker. */
    private fun shortWhenCrowded(response: Response): Response =
        if (clientServer.connectionCount >= bounds.shortConnectionsFrom) response.closing() else response

    private suspend fun user(request: HttpMessage): Response {
        val path = request.second
        return when {
            path == "/v1/jobs" -> only("POST", request) { timed(outside.metrics::accepted) { users.submit(request) } }
            path.startsWith(JOB_PATH) && path.endsWith("/abort") ->
                only("POST", request) { users.abort(path.substring(JOB_PATH.length, path.length - "/abort".length)) }
            path.startsWith(JOB_PATH) -> only("GET", request) { timed(outside.metrics::polled) { users.poll(path.substring(JOB_PATH.length)) } }
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
            !view.loaded || outside.types.isEmpty() -> Response.error(503, "starting", Tuning.RETRY_AFTER_S)
            peers.isolation.isRefusedAlone(loop.nowMs()) -> Response.error(503, "the state service refuses this node alone", Tuning.RETRY_AFTER_S)
            peers.isolation.isCutOff(loop.nowMs()) -> Response.error(503, "cut off from the state service and the other controllers", Tuning.RETRY_AFTER_S)
            else -> Response(200, Json.obj { writeBooleanField("ready", true) })
        }

    override suspend fun relayedUser(
        method: String,
        path: String,
        body: ByteArray,
    ) = user(HttpMessage(method, path, "HTTP/1.1", emptyMap(), body))

    override suspend fun relayed(body: ByteArray) = reports.relayed(body)

    override fun leadingTerms() = leaderships.terms()

    override fun crowded() = changes.crowded

    override fun siblingCrowded() {
        leaderships.leaders.forEach { it.giveWay() }
    }

    override fun siblingLeads(
        member: String,
        share: String,
        term: Long,
    ) = leaderships.siblingLeads(member, share, term)

    override fun loadOf(share: String): ShareLoad? {
        val load =
            leaderships
                .member(share)
                ?.leader
                ?.shareLeader
                ?.load() ?: return null
        // Leaders of other shares in this process learn it here, as siblings do by the note.
        siblingLoad(share, load)
        return load
    }

    override fun siblingLoad(
        share: String,
        load: ShareLoad,
    ) {
        sharing?.loadTold(share, load)
    }

    override fun guestsAsked(body: ByteArray): ByteArray? {
        val (share, queries) = GuestCodec.parseQuestions(body) ?: return null
        return leaderships
            .member(share)
            ?.leader
            ?.shareLeader
            ?.answer(queries)
            ?.let(GuestCodec::answers)
    }

    /** Asks the leader of [share], here or at a sibling. */
    private suspend fun askGuests(
        share: String,
        queries: List<GuestQuery>,
    ): List<GuestAnswer>? {
        leaderships
            .member(share)
            ?.leader
            ?.shareLeader
            ?.let { return it.answer(queries) }
        val controller = leaderOf(share) ?: return null
        return peers.askGuests(controller, GuestCodec.questions(share, queries))?.let(GuestCodec::parseAnswers)
    }

    override fun siblingRuns(
        member: String,
        generation: Int,
    ) = versions.heard(member, generation)

    override fun cancellationsAfter(
        incarnation: Long,
        next: Long,
    ) = cancellations.after(incarnation, next)

    override fun cancellationsRead(sibling: String) = horizon.progressOf(sibling)

    override fun siblingCancelled(
        member: String,
        page: CancellationPage,
        askedAtMs: Long,
    ) {
        horizon.answered(member, page, askedAtMs, loop.nowMs())
        for (leader in leaderships.leaders) page.ids.forEach { leader.scheduler.withdrawnElsewhere(it, loop.nowMs()) }
    }

    private fun progress(id: String): Progress? {
        val leaders = leaderships.leaders
        for (leader in leaders) {
            leader.scheduler.cluster.jobs[id]
                ?.let { return Progress(it.doneTasks, leader.scheduler.runningCount(it)) }
        }
        return if (leaders.isEmpty() || sharing != null) peers.progress(id) else null
    }

    /** What the leader tells its siblings of each job, for display. */
    override fun progressNote(): Map<String, Progress> {
        val progress = LinkedHashMap<String, Progress>()
        for (leader in leaderships.leaders) {
            leader.scheduler.cluster.jobs.values
                .forEach { progress[it.id] = Progress(it.doneTasks, leader.scheduler.runningCount(it)) }
        }
        return progress
    }

    private companion object {
        const val JOB_PATH = "/v1/jobs/"
    }
}
