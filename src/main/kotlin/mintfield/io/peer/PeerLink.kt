package mintfield.io.peer

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
import mintfield.app.Leaderships
import mintfield.app.Outside
import mintfield.app.Progress
import mintfield.core.SocketBounds
import mintfield.core.Tuning
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.Isolation
import mintfield.core.leadership.SiblingHearing
import mintfield.core.leadership.StoreReach
import mintfield.core.model.Settings
import mintfield.core.ownership.ShareLoad
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.Reply
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.store.StoreClient

/** Sends notes to the siblings and keeps the last one of each. */
@OptIn(ExperimentalSerializationApi::class)
class PeerLink(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val outside: Outside,
    private val owner: Owner,
) {
    /** The node, as its peer link sees it. */
    interface Owner {
        /** The terms that this node leads with, by share; the name of the only leadership is empty. */
        fun leadingTerms(): Map<String, Long>

        fun progressNote(): Map<String, Progress>

        /** Whether changes of users wait here for the store. */
        fun crowded(): Boolean

        /** They do so at a sibling. */
        fun siblingCrowded()

        /** The load of [share], if it is led here. */
        fun loadOf(share: String): ShareLoad?

        /** A sibling's leader of [share] tells its load. */
        fun siblingLoad(
            share: String,
            load: ShareLoad,
        )

        /** A sibling leads [share] with [term]. */
        fun siblingLeads(
            member: String,
            share: String,
            term: Long,
        )

        /** A sibling's note tells the generation of its program. */
        fun siblingRuns(
            member: String,
            generation: Int,
        )

        /** Questions of a sibling's leader about tasks on machines of a share that is led here; null if they cannot be answered. */
        fun guestsAsked(body: ByteArray): ByteArray?

        /** What a sibling that has read the log of [incarnation] up to [next] lacks of the cancellations told here. */
        fun cancellationsAfter(
            incarnation: Long,
            next: Long,
        ): CancellationPage

        /** Whose log of cancellations was read from [sibling], and up to which entry. */
        fun cancellationsRead(sibling: String): Pair<Long, Long>

        /** [member], asked at [askedAtMs], has told users of these cancellations. */
        fun siblingCancelled(
            member: String,
            page: CancellationPage,
            askedAtMs: Long,
        )

        /** A user's request that came by way of a sibling; it is not passed on any further. */
        suspend fun relayedUser(
            method: String,
            path: String,
            body: ByteArray,
        ): Response

        /** A report that came by way of a sibling. */
        suspend fun relayed(body: ByteArray): Response
    }

    private val hearing = SiblingHearing(loop.nowMs())
    private val store = StoreReach()

    /** What this controller may not do while it is cut off. */
    val isolation = Isolation(store, hearing)
    private val progressTold = HashMap<String, ProgressBoard>()

    private val bounds = SocketBounds(settings)
    private val progressPages = settings.siblings.associate { it.member to ProgressPages() }
    private val clients = settings.siblings.associate { it.member to outside.client(it.address, maxIdle = bounds.relayLanes + 2) }
    private val answeredAtMs = HashMap<String, Long>()
    private val lanes = settings.siblings.associate { it.member to Semaphore(bounds.relayLanes) }

    fun start() {
        for ((sibling, client) in clients) {
            scope.launch {
                while (true) {
                    send(sibling, client)
                    delay(Tuning.PEER_NOTE_MS)
                }
            }
        }
    }

    /** Tells all siblings now, without waiting for the next second. */
    fun announce() {
        for ((sibling, client) in clients) scope.launch { send(sibling, client) }
    }

    private suspend fun send(
        sibling: String,
        client: HttpClient,
    ) {
        val from = loop.nowMs()
        val reply = client.call("POST", "/peer", ProtoBuf.encodeToByteArray(PeerNote.serializer(), note(sibling)), Tuning.PEER_TIMEOUT_MS)
        if (reply is Reply.Answer && reply.status == 200) {
            val answer = decode(PeerNoteAnswer.serializer(), reply.body) ?: return
            owner.siblingCancelled(sibling, CancellationPage(answer.incarnation, answer.from, answer.cancelled, answer.total), from)
        }
        if (reply is Reply.None && loop.nowMs() - from < Tuning.PEER_TIMEOUT_MS / 2) hearing.refused(sibling, loop.nowMs())
    }

    private fun note(sibling: String): PeerNote {
        val (incarnation, next) = owner.cancellationsRead(sibling)
        val terms = owner.leadingTerms()
        val term = terms[Leaderships.ONLY] ?: 0
        val progress = if (terms.isNotEmpty()) owner.progressNote() else emptyMap()
        val page = progressPages.getValue(sibling).next(progress)
        return PeerNote(
            settings.member,
            store.served,
            terms.isNotEmpty(),
            page,
            term,
            owner.crowded(),
            incarnation,
            next,
            if (page.size < progress.size) progress.size else 0,
            terms.filterKeys { it != Leaderships.ONLY }.map { (share, its) -> ShareNote.of(share, its, owner.loadOf(share)) },
            Generation.CURRENT,
        )
    }

    /** Hands a worker's report to the leader; null if the leader cannot be reached from here. */
    suspend fun relay(
        leader: String,
        body: ByteArray,
    ): RelayAnswer? {
        val client = clients[leader] ?: return null
        val bytes = ProtoBuf.encodeToByteArray(RelayedReport.serializer(), RelayedReport(settings.member, body))
        return passOn(leader, client, "/relay", bytes, Tuning.RELAY_TIMEOUT_MS)
    }

    /**
     * Whether [leader] answers, but more reports are on their way to it from here than it is given at once: what waits in this
     * line would time out, though the leader would have answered the worker itself.
     */
    fun relaysCrowded(leader: String): Boolean {
        val lane = lanes[leader] ?: return false
        return lane.availablePermits == 0 && answeredAtMs[leader]?.let { loop.nowMs() - it < Tuning.RELAY_ANSWERED_MS } ?: false
    }

    /** Sends [bytes] to [sibling] when one of its lanes is free; null without an answer in [timeoutMs], the wait included. */
    private suspend fun passOn(
        sibling: String,
        client: HttpClient,
        path: String,
        bytes: ByteArray,
        timeoutMs: Long,
    ): RelayAnswer? {
        val reply = withTimeoutOrNull(timeoutMs) { lanes.getValue(sibling).withPermit { client.call("POST", path, bytes, timeoutMs) } }
        if (reply !is Reply.Answer || reply.status != 200) return null
        answeredAtMs[sibling] = loop.nowMs()
        return decode(RelayAnswer.serializer(), reply.body)
    }

    /**
     * The answer of a sibling that the store serves, while it does not serve this node; null if there is none. The user
     * would else come back later, and through the same open connection to the same node.
     */
    suspend fun relayUser(request: HttpMessage): Response? {
        if (store.served) return null
        val sibling = hearing.served(loop.nowMs()) ?: return null
        val client = clients[sibling] ?: return null
        val relayed = RelayedRequest(request.first, request.second, request.body)
        val bytes = ProtoBuf.encodeToByteArray(RelayedRequest.serializer(), relayed)
        val answer = passOn(sibling, client, "/user", bytes, Tuning.PEER_TIMEOUT_MS) ?: return null
        return Response(answer.status, answer.body, answer.retryAfterS.takeIf { it > 0 })
    }

    /** Asks [sibling]'s leaders about tasks on their machines; null without an answer. */
    suspend fun askGuests(
        sibling: String,
        body: ByteArray,
    ): ByteArray? {
        val reply = clients[sibling]?.call("POST", GUESTS, body, Tuning.PEER_TIMEOUT_MS)
        return (reply as? Reply.Answer)?.takeIf { it.status == 200 }?.body
    }

    suspend fun receive(request: HttpMessage): Response {
        if (request.second !in PATHS) return Response.error(404, "no such path")
        if (request.first != "POST") return Response.error(405, "only POST is served here")
        if (request.second == GUESTS) return owner.guestsAsked(request.body)?.let { Response(200, it) } ?: Response.error(409, "not led here")
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
        val note = decode(PeerNote.serializer(), request.body) ?: return Response.error(400, "not a note")
        hearing.heard(note.member, note.storeServes, loop.nowMs())
        owner.siblingRuns(note.member, note.generation)
        if (note.crowded) owner.siblingCrowded()
        if (note.leading) {
            val told = progressTold.getOrPut(note.member) { ProgressBoard() }
            told.take(note.progress, note.jobs, loop.nowMs())
            if (note.term > 0) owner.siblingLeads(note.member, Leaderships.ONLY, note.term)
            for (it in note.shares) {
                owner.siblingLeads(note.member, it.share, it.term)
                it.load()?.let { load -> owner.siblingLoad(it.share, load) }
            }
        }
        val page = owner.cancellationsAfter(note.readIncarnation, note.readNext)
        val answer = PeerNoteAnswer(page.incarnation, page.from, page.ids, page.total)
        return Response(200, ProtoBuf.encodeToByteArray(PeerNoteAnswer.serializer(), answer))
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
    fun storeSilent(): Boolean = store.unservedForLong(loop.nowMs())

    /** Whether nothing at all has come from the store for a while. */
    fun storeCut(): Boolean = store.cut(loop.nowMs())

    /** Whether [sibling] has been silent for longer than a restart takes. */
    fun silent(sibling: String): Boolean = hearing.isSilent(sibling, loop.nowMs())

    fun heardNow(sibling: String): Boolean = hearing.hears(sibling, loop.nowMs())

    /** Whether [sibling] has been heard lately, and the store serves it. */
    fun upAndServed(sibling: String): Boolean = hearing.isServed(sibling, loop.nowMs())

    /** A sibling other than [leader] that has been heard lately. */
    fun heardBesides(leader: String): String? = hearing.heardBesides(leader, loop.nowMs())

    /** What leading siblings last told of the progress of job [id]. */
    fun progress(id: String): Progress? = progressTold.values.firstNotNullOfOrNull { it[id] }

    /** Takes in what became of a call to the store. */
    fun storeContact(contact: StoreClient.Contact) =
        when (contact) {
            StoreClient.Contact.SERVED -> store.served()
            StoreClient.Contact.REFUSED -> store.refused(loop.nowMs())
            StoreClient.Contact.SILENT -> store.silent(loop.nowMs())
        }

    private companion object {
        const val GUESTS = "/guests"
        val PATHS = setOf("/peer", "/relay", "/user", GUESTS)
    }
}
