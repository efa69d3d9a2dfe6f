package mintfield.app

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.sharing.ShareLeader
import mintfield.app.sharing.SharingNode
import mintfield.core.FleetRoom
import mintfield.core.ReportAnswer
import mintfield.core.SocketBounds
import mintfield.core.Timings
import mintfield.core.Tuning
import mintfield.core.leadership.CancellationHorizon
import mintfield.core.leadership.CancellationLog
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.IsolatedLeaderProbe
import mintfield.core.leadership.SiblingRedirects
import mintfield.core.leadership.SilentSiblingRelay
import mintfield.core.model.Settings
import mintfield.core.model.fittingTypes
import mintfield.core.ownership.GuestAnswer
import mintfield.core.ownership.GuestQuery
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpServer
import mintfield.io.http.Response
import mintfield.io.http.parseAddress
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.Pacer
import mintfield.io.loop.scope
import mintfield.io.ownership.GuestCodec
import mintfield.io.peer.PeerLink
import mintfield.io.worker.WorkerCodec
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
    private val sharing = settings.operator.sharing?.let { SharingNode(it, outside.store, { id -> view.live[id]?.spec }, ::leaderOf) }
    private val leaderships = Leaderships(members(), sharing)
    private val changes =
        ChangeWriter(loop, scope, outside.store, settings.txnOps, Pacer(loop, settings.stateWriteRps * Tuning.CHANGE_WRITE_SHARE, settings.txnOps.toDouble()))
    private val peers = PeerLink(loop, scope, settings, outside, this)
    private val users = UserApi(settings, outside.store, view, changes, { outside.types.values }, ::progress, cancellations::telling) { peers.storeCut() }
    private val rounds = IsolatedLeaderProbe(Timings(settings).sendOnMs)
    private val siblingRedirects = SiblingRedirects()
    private val parking = SilentSiblingRelay(settings.siblings.map { it.member } + settings.member, settings.member)
    private val reader = WorkerCodec.Reader(maxOf(settings.maxSockets, settings.operator.fleetMachines ?: 0))
    private val bounds = SocketBounds(settings)
    private val clientServer = HttpServer(loop, scope, group, bounds.incoming, ::client)

    private fun members(): List<Member> {
        val shared = sharing ?: return listOf(Member(loop, scope, outside, view, horizon) { peers.announce() })
        return shared.settings.shares.map { share ->
            Member(loop, scope, outside, view, horizon, share, { ShareLeader(shared, it, loop, outside.store, ::askGuests) }) { peers.announce() }
        }
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
            val now = if (leaderships.leaders.isNotEmpty()) parkedAt() else null
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
            path == "/checkin" -> only("POST", request) { shortWhenCrowded(checkin(request)) }
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
            peers.aloneRefused() -> Response.error(503, "the state service refuses this node alone", Tuning.RETRY_AFTER_S)
            peers.cutOff() -> Response.error(503, "cut off from the state service and the other controllers", Tuning.RETRY_AFTER_S)
            else -> Response(200, Json.obj { writeBooleanField("ready", true) })
        }

    private suspend fun checkin(request: HttpMessage): Response {
        val member = leaderships.forReport(request.body) ?: return Response(421, Json.obj { })
        val leader = member.leader ?: return elsewhere(member, request)
        if (isolated(leader)) {
            val report = reader.report(request.body) ?: return Response.error(400, "not a report")
            if (rounds.sendOn(report.machine, loop.nowMs())) return Response(421, Json.obj { })
        }
        return answer(leader, request.body, direct = true)
    }

    /** Where workers are to report while the controller that they would try after this one is silent. */
    private fun parkedAt(): String? = parking.place(peers::silent, peers::heardNow)

    /**
     * A leader past its lease goes on answering in an outage, so that the workers keep theirs. One that reaches neither
     * the store nor a sibling may be cut off alone: then its answers hold workers that a successor waits for.
     */
    private fun isolated(leader: Leader) = leader.leaseLeftMs() < -Tuning.ISOLATED_MS && peers.storeSilent() && !peers.heardAny()

    private suspend fun answer(
        leader: Leader,
        body: ByteArray,
        direct: Boolean = false,
    ): Response {
        val report = reader.report(body) ?: return Response.error(400, "not a report")
        if (direct) {
            leader.heardDirectly(report)
            val place = parkedAt()
            if (place != null && leader.knows(report) && parking.send(report.machine, leader.relayedBefore(report), loop.nowMs())) {
                return Response(421, Json.obj { writeStringField("steward", place) })
            }
        }
        return when (val answer = leader.report(report, relayed = !direct, parked = parkedAt() != null)) {
            ReportAnswer.Deposed -> {
                leader.resign("${report.machine} has seen term ${report.termSeen}")
                Response(421, Json.obj { })
            }

            ReportAnswer.Unrenewed, ReportAnswer.OwnedByAnother -> {
                Response(421, Json.obj { })
            }

            ReportAnswer.NotNow -> {
                Response(503, Json.obj { })
            }

            is ReportAnswer.Orders -> {
                // It may have given up while the report waited.
                if (leader !in leaderships.leaders) return Response(421, Json.obj { })
                leader.kick()
                Response(200, WorkerCodec.orders(answer.term, null, answer.orders))
            }
        }
    }

    /** Not the leader: the report goes on to it, and its answer back; it says if the worker should come directly. */
    private suspend fun elsewhere(
        member: Member,
        request: HttpMessage,
    ): Response {
        val leader = member.known?.takeIf { it != settings.member } ?: return Response(421, Json.obj { })
        if (peers.relaysCrowded(leader)) return Response(421, Json.obj { writeStringField("steward", leader) })
        val sentAt = loop.nowMs()
        val answer = peers.relay(leader, request.body) ?: return afterSilence(member, leader, request, sentAt)
        return if (answer.status == 421) Response(421, Json.obj { writeStringField("steward", leader) }) else Response(answer.status, answer.body)
    }

    /**
     * The leader did not answer. If all other controllers are silent the worker would lose its lease at them, and there is
     * about to be a new leader, most likely here.
     */
    private suspend fun afterSilence(
        member: Member,
        leader: String,
        request: HttpMessage,
        sentAtMs: Long,
    ): Response {
        val alone = settings.siblings.none { it.member != leader && !peers.silent(it.member) }
        while (alone && loop.nowMs() - sentAtMs < Tuning.PARKED_PATIENCE_MS) {
            member.leader?.let { return answer(it, request.body) }
            val known = member.known
            if (known != null && known != leader && known != settings.member) {
                return peers.relay(known, request.body)?.takeIf { it.status != 421 }?.let { Response(it.status, it.body) } ?: break
            }
            delay(Tuning.PARKED_STEP_MS)
        }
        return detour(leader, request)
    }

    /** Naming a leader that cannot be reached from here would cost the worker seconds of its lease; another sibling may help. */
    private fun detour(
        leader: String,
        request: HttpMessage,
    ): Response {
        val report = reader.report(request.body) ?: return Response.error(400, "not a report")
        val to = siblingRedirects.offer(report.machine, peers.heardBesides(leader), loop.nowMs())
        return Response(421, Json.obj { to?.let { writeStringField("steward", it) } })
    }

    override suspend fun relayedUser(
        method: String,
        path: String,
        body: ByteArray,
    ) = user(HttpMessage(method, path, "HTTP/1.1", emptyMap(), body))

    override suspend fun relayed(body: ByteArray): Response {
        val leader = leaderships.forReport(body)?.leader ?: return Response(503, Json.obj { })
        val report = reader.report(body) ?: return Response.error(400, "not a report")
        if (parkedAt() == null && leader.comesDirectly(report)) return Response(421, Json.obj { })
        return answer(leader, body)
    }

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
