package mintfield.io.peer

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.Serializable
import kotlinx.serialization.SerializationException
import kotlinx.serialization.protobuf.ProtoBuf
import kotlinx.serialization.protobuf.ProtoNumber
import mintfield.app.Outside
import mintfield.app.Progress
import mintfield.core.Tuning
import mintfield.core.model.Settings
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop

/** What controllers tell each other each second. It informs; no decision that the rules depend on rests on it. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class PeerNote(
    @ProtoNumber(1) val member: String,
    @ProtoNumber(2) val storeServes: Boolean,
    @ProtoNumber(3) val leading: Boolean,
    @ProtoNumber(4) val progress: List<JobProgress> = emptyList(),
)

@OptIn(ExperimentalSerializationApi::class)
@Serializable
data class JobProgress(
    @ProtoNumber(1) val id: String,
    @ProtoNumber(2) val done: Int,
    @ProtoNumber(3) val running: Int,
)

/** Sends notes to the siblings and keeps the last one of each. */
@OptIn(ExperimentalSerializationApi::class)
class PeerLink(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val outside: Outside,
    private val progressNote: () -> Map<String, Progress>?,
) {
    private class Heard(
        val note: PeerNote,
        val atMs: Long,
    )

    private val heard = HashMap<String, Heard>()
    private var jobs: Map<String, Progress> = emptyMap()
    private var servedAtMs = 0L
    private var refusedSinceMs: Long? = null

    fun start() {
        for (sibling in settings.siblings) {
            val client = outside.client(sibling.address, maxIdle = 1)
            scope.launch {
                while (true) {
                    val bytes = ProtoBuf.encodeToByteArray(PeerNote.serializer(), note())
                    client.call("POST", "/peer", bytes, Tuning.PEER_TIMEOUT_MS)
                    delay(Tuning.PEER_NOTE_MS)
                }
            }
        }
    }

    private fun note(): PeerNote {
        val progress = progressNote()
        return PeerNote(
            settings.member,
            refusedSinceMs == null,
            progress != null,
            progress.orEmpty().entries.take(MAX_JOBS).map { (id, p) -> JobProgress(id, p.done, p.running) },
        )
    }

    suspend fun receive(request: HttpMessage): Response {
        if (request.second != "/peer") return Response.error(404, "no such path")
        if (request.first != "POST") return Response.error(405, "only POST is served here")
        val note =
            try {
                ProtoBuf.decodeFromByteArray(PeerNote.serializer(), request.body)
            } catch (_: SerializationException) {
                return Response.error(400, "not a note")
            }
        heard[note.member] = Heard(note, loop.nowMs())
        if (note.leading) jobs = note.progress.associate { it.id to Progress(it.done, it.running) }
        return Response(200, ByteArray(0))
    }

    fun progress(id: String): Progress? = jobs[id]

    fun storeAnswered(served: Boolean) {
        if (served) {
            servedAtMs = loop.nowMs()
            refusedSinceMs = null
        } else if (refusedSinceMs == null) {
            refusedSinceMs = loop.nowMs()
        }
    }

    /** Whether the store has refused this node for a while although it serves a sibling. */
    fun aloneRefused(): Boolean {
        val since = refusedSinceMs ?: return false
        val now = loop.nowMs()
        if (now - since < Tuning.ALONE_REFUSED_MS) return false
        return heard.values.any { it.note.storeServes && now - it.atMs < Tuning.PEER_FRESH_MS }
    }

    private companion object {
        /** Jobs in one note; keeps it within the bound on request bodies. */
        const val MAX_JOBS = 2_000
    }
}
