package mintfield.app.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.app.ExternalServices
import mintfield.app.api.Progress
import mintfield.app.election.LeaderElections
import mintfield.core.ConnectionLimits
import mintfield.core.constants.PeerConstants
import mintfield.core.leadership.CancellationLogPosition
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.Isolation
import mintfield.core.leadership.PeerFailureDetector
import mintfield.core.leadership.StoreConnectivity
import mintfield.core.model.Settings
import mintfield.core.ownership.ShardLoad
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.Reply
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.peer.PeerStatus
import mintfield.io.peer.PeerStatusResponse
import mintfield.io.peer.RelayAnswer
import mintfield.io.peer.RelayedReport
import mintfield.io.peer.RelayedRequest
import mintfield.io.peer.ShardLeaderStatus
import mintfield.io.store.StoreClient

/** Sends notes to the peers and keeps the last one of each. */
@OptIn(ExperimentalSerializationApi::class)
class PeerLink(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val services: ExternalServices,
    private val owner: Owner,
) {
    /** The node, as its peer link sees it. */
    interface Owner {
        /** The terms that this node leads with, by share; the name of the only leadership is empty. */
        fun leadingTerms(): Map<String, Long>

        fun progressNote(): Map<String, Progress>

        /** Whether changes of users wait here for the store. */
        fun congested(): Boolean

        /** They do so at a peer. */
        fun peerCongested()

        /** The load of [shard], if it is led here. */
        fun loadOf(shard: String): ShardLoad?

        /** A peer's leader of [shard] tells its load. */
        fun peerLoad(
            shard: String,
            load: ShardLoad,
        )

        /** A peer leads [shard] with [term]. */
        fun peerLeads(
            member: String,
            shard: String,
            term: Long,
        )

        /** A peer's note tells the generation of its program. */
        fun peerRuns(
            member: String,
            generation: Int,
        )

        /** Questions of a peer's leader about tasks on machines of a share that is led here; null if they cannot be answered. */
        fun foreignTasksQueried(body: ByteArray): ByteArray?

        /** What a peer that has read the log of [incarnation] up to [next] lacks of the cancellations told here. */
        fun cancellationsAfter(
            incarnation: Long,
            next: Long,
        ): CancellationPage

        /** Whose log of cancellations was read from [peer], and up to which entry. */
        fun cancellationsRead(peer: String): CancellationLogPosition

        /** [member], asked at [askedAtMs], has told users of these cancellations. */
        fun peerCancelled(
            member: String,
            page: CancellationPage,
            askedAtMs: Long,
        )

        /** A user's request that came by way of a peer; it is not passed on any further. */
        suspend fun relayedUser(
            method: String,
            path: String,
            body: ByteArray,
        ): Response

        /** A heartbeat that came by way of a peer. */
        suspend fun relayed(body: ByteArray): Response
    }

    private val failureDetector = PeerFailureDetector(loop.nowMs())
    private val store = StoreConnectivity()

    /** What this controller may not do while it is cut off. */
    val isolation = Isolation(store, failureDetector)
    private val progressByPeer = HashMap<String, PeerProgress>()

    private val bounds = ConnectionLimits(settings)
    private val progressPages = settings.peers.associate { it.member to ProgressPager() }
    private val clients = settings.peers.associate { it.member to services.client(it.address, maxIdle = bounds.relayLanes + 2) }
    private val leaseRenewedAtMs = HashMap<String, Long>()
    private val lanes = settings.peers.associate { it.member to Semaphore(bounds.relayLanes) }

    fun start() {
        for ((peer, client) in clients) {
            scope.launch {
                while (true) {
                    send(peer, client)
                    delay(PeerConstants.PEER_STATUS_INTERVAL_MS)
                }
            }
        }
    }

    /** Tells all peers now, without waiting for the next second. */
    fun announce() {
        for ((peer, client) in clients) scope.launch { send(peer, client) }
    }

    private suspend fun send(
        peer: String,
        client: HttpClient,
    ) {
        val from = loop.nowMs()
        val reply = client.call("POST", "/peer", ProtoBuf.encodeToByteArray(PeerStatus.serializer(), note(peer)), PeerConstants.PEER_TIMEOUT_MS)
        if (reply is Reply.Answer && reply.status == 200) {
            val answer = decode(PeerStatusResponse.serializer(), reply.body) ?: return
            owner.peerCancelled(peer, CancellationPage(answer.incarnation, answer.from, answer.cancelled, answer.total), from)
        }
        if (reply is Reply.None && loop.nowMs() - from < PeerConstants.PEER_TIMEOUT_MS / 2) failureDetector.refused(peer, loop.nowMs())
    }

    private fun note(peer: String): PeerStatus {
        val (incarnation, next) = owner.cancellationsRead(peer)
        val terms = owner.leadingTerms()
        val term = terms[LeaderElections.ONLY] ?: 0
        val progress = if (terms.isNotEmpty()) owner.progressNote() else emptyMap()
        val page = progressPages.getValue(peer).next(progress)
        return PeerStatus(
            settings.member,
            store.served,
            terms.isNotEmpty(),
            page,
            term,
            owner.congested(),
            incarnation,
            next,
            if (page.size < progress.size) progress.size else 0,
            terms.filterKeys { it != LeaderElections.ONLY }.map { (shard, its) -> ShardLeaderStatus.of(shard, its, owner.loadOf(shard)) },
            Generation.CURRENT,
        )
    }

    /** Hands a worker's heartbeat to the leader; null if the leader cannot be reached from here. */
    suspend fun relay(
        leader: String,
        body: ByteArray,
    ): RelayAnswer? {
        val client = clients[leader] ?: return null
        val bytes = ProtoBuf.encodeToByteArray(RelayedReport.serializer(), RelayedReport(settings.member, body))
        return passOn(leader, client, "/relay", bytes, PeerConstants.RELAY_TIMEOUT_MS)
    }

    /**
     * Whether [leader] answers, but more heartbeats are on their way to it from here than it is given at once: what waits in this
     * line would time out, though the leader would have answered the worker itself.
     */
    fun isRelayCongested(leader: String): Boolean {
        val lane = lanes[leader] ?: return false
        return lane.availablePermits == 0 && leaseRenewedAtMs[leader]?.let { loop.nowMs() - it < PeerConstants.RELAY_RESPONSIVE_MS } ?: false
    }

    /** Sends [bytes] to [peer] when one of its lanes is free; null without an answer in [timeoutMs], the wait included. */
    private suspend fun passOn(
        peer: String,
        client: HttpClient,
        path: String,
        bytes: ByteArray,
        timeoutMs: Long,
    ): RelayAnswer? {
        val reply = withTimeoutOrNull(timeoutMs) { lanes.getValue(peer).withPermit { client.call("POST", path, bytes, timeoutMs) } }
        if (reply !is Reply.Answer || reply.status != 200) return null
        leaseRenewedAtMs[peer] = loop.nowMs()
        return decode(RelayAnswer.serializer(), reply.body)
    }

    /**
     * The answer of a peer that the store serves, while it does not serve this node; null if there is none. The user
     * would else come back later, and through the same open connection to the same node.
     */
    suspend fun relayUser(request: HttpMessage): Response? {
        if (store.served) return null
        val peer = failureDetector.servedPeer(loop.nowMs()) ?: return null
        val client = clients[peer] ?: return null
        val relayed = RelayedRequest(request.first, request.second, request.body)
        val bytes = ProtoBuf.encodeToByteArray(RelayedRequest.serializer(), relayed)
        val answer = passOn(peer, client, "/user", bytes, PeerConstants.PEER_TIMEOUT_MS) ?: return null
        return Response(answer.status, answer.body, answer.retryAfterS.takeIf { it > 0 })
    }

    /** Asks [peer]'s leaders about tasks on their machines; null without an answer. */
    suspend fun queryForeignTasks(
        peer: String,
        body: ByteArray,
    ): ByteArray? {
        val reply = clients[peer]?.call("POST", FOREIGN_TASKS, body, PeerConstants.PEER_TIMEOUT_MS)
        return (reply as? Reply.Answer)?.takeIf { it.status == 200 }?.body
    }

    suspend fun receive(request: HttpMessage): Response {
        if (request.second !in PATHS) return Response.error(404, "no such path")
        if (request.first != "POST") return Response.error(405, "only POST is served here")
        if (request.second == FOREIGN_TASKS) return owner.foreignTasksQueried(request.body)?.let { Response(200, it) } ?: Response.error(409, "not led here")
        if (request.second == "/relay") {
            val relayed = decode(RelayedReport.serializer(), request.body) ?: return Response.error(400, "not a report")
            val answer = owner.relayed(relayed.body)
            return Response(200, ProtoBuf.encodeToByteArray(RelayAnswer.serializer(), RelayAnswer(answer.status, answer.body)))
        }
        if (request.second == "/user") {
            val relayed = decode(RelayedRequest.serializer(), request.body) ?: return Response.error(400, "not a request")
            val answer = owner.relayedUser(relayed.method, relayed.path, relayed.body)
            val out = RelayAnswer(answer.status, answer.body, answer.retryAfterS ?: 0)
            return Response(200, ProtoBuf.encodeToByteArray(RelayAnswer.serializer(), out))
        }
        val note = decode(PeerStatus.serializer(), request.body) ?: return Response.error(400, "not a note")
        failureDetector.recordContact(note.member, note.storeServes, loop.nowMs())
        owner.peerRuns(note.member, note.generation)
        if (note.congested) owner.peerCongested()
        if (note.leading) {
            val peerProgress = progressByPeer.getOrPut(note.member) { PeerProgress() }
            peerProgress.take(note.progress, note.jobs, loop.nowMs())
            if (note.term > 0) owner.peerLeads(note.member, LeaderElections.ONLY, note.term)
            for (it in note.shards) {
                owner.peerLeads(note.member, it.shard, it.term)
                it.load()?.let { load -> owner.peerLoad(it.shard, load) }
            }
        }
        val page = owner.cancellationsAfter(note.readIncarnation, note.readNext)
        val answer = PeerStatusResponse(page.incarnation, page.from, page.ids, page.total)
        return Response(200, ProtoBuf.encodeToByteArray(PeerStatusResponse.serializer(), answer))
    }

    private fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): T? =
        try {
            ProtoBuf.decodeFromByteArray(serializer, bytes)
        } catch (_: SerializationException) {
            null
        }

    /** Whether the store has not served this node for a while. */
    fun isStoreUnavailable(): Boolean = store.unservedForLong(loop.nowMs())

    /** Whether nothing at all has come from the store for a while. */
    fun isStoreUnreachable(): Boolean = store.unreachableForLong(loop.nowMs())

    /** Whether [peer] has been silent for longer than a restart takes. */
    fun isUnreachable(peer: String): Boolean = failureDetector.isUnreachable(peer, loop.nowMs())

    fun isReachable(peer: String): Boolean = failureDetector.isReachable(peer, loop.nowMs())

    /** Whether [peer] has been heard lately, and the store serves it. */
    fun upAndServed(peer: String): Boolean = failureDetector.isServed(peer, loop.nowMs())

    /** A peer other than [leader] that has been heard lately. */
    fun reachablePeerExcept(leader: String): String? = failureDetector.reachablePeerExcept(leader, loop.nowMs())

    /** What leading peers last told of the progress of job [id]. */
    fun progress(id: String): Progress? = progressByPeer.values.firstNotNullOfOrNull { it[id] }

    /** Takes in what became of a call to the store. */
    fun storeContact(contact: StoreClient.Contact) =
        when (contact) {
            StoreClient.Contact.SERVED -> store.served()
            StoreClient.Contact.REFUSED -> store.refused(loop.nowMs())
            StoreClient.Contact.UNRESPONSIVE -> store.noAnswer(loop.nowMs())
        }

    private companion object {
        const val FOREIGN_TASKS = "/guests"
        val PATHS = setOf("/peer", "/relay", "/user", FOREIGN_TASKS)
    }
}
