package mintfield.golden

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.Fixtures
import mintfield.app.ExternalServices
import mintfield.app.peer.LocalStatus
import mintfield.app.peer.PeerHealth
import mintfield.app.peer.PeerRelay
import mintfield.app.peer.PeerStatusSender
import mintfield.core.leadership.CancellationLogPosition
import mintfield.core.model.ExitReason
import mintfield.core.model.Peer
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.TaskStatus
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskRef
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.core.ownership.MachineKind
import mintfield.core.ownership.ShardLoad
import mintfield.core.upgrade.Generation
import mintfield.io.ownership.ForeignTaskCodec
import mintfield.io.ownership.ShardQueries
import mintfield.io.peer.JobProgress
import mintfield.io.peer.PeerStatus
import mintfield.io.peer.PeerStatusResponse
import mintfield.io.peer.RelayResponse
import mintfield.io.peer.RelayedHeartbeat
import mintfield.io.peer.RelayedRequest
import mintfield.io.peer.ShardLeaderStatus
import org.junit.jupiter.api.Assertions.assertArrayEquals
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.lang.reflect.Proxy

/** Pins the messages between controllers, which may run different versions of this program. */
@OptIn(ExperimentalSerializationApi::class)
class PeerMessagesGoldenTest {
    private fun pinned(
        name: String,
        found: ByteArray,
    ): ByteArray = GoldenFile.checkHex("peer/$name.hex", found)

    /** Compares with the golden file and returns its decoded content, which must encode to the same bytes again. */
    private fun <T> message(
        name: String,
        serializer: KSerializer<T>,
        message: T,
    ): T {
        val kept = pinned(name, ProtoBuf.encodeToByteArray(serializer, message))
        val read = ProtoBuf.decodeFromByteArray(serializer, kept)
        assertArrayEquals(kept, ProtoBuf.encodeToByteArray(serializer, read), name)
        return read
    }

    private val load =
        ShardLoad(64.0, 96.5, 32.25, 0.5, linkedSetOf(MachineKind("box", "north", true), MachineKind("barrel", "south", false)))

    @Test
    fun `a peer status is encoded with and without optional fields`() {
        val status =
            PeerStatus(
                "plot-0",
                storeServes = true,
                leading = true,
                listOf(JobProgress("ab-000412", 3, 300), JobProgress("c-7", 0, 0)),
                4_000_000_000,
                congested = true,
                9_000_000_000,
                17,
                5_000,
                listOf(ShardLeaderStatus.of("s0", 12, load), ShardLeaderStatus.of("s1", 13, null)),
                Generation.CURRENT,
            )
        val read = message("note", PeerStatus.serializer(), status)
        assertEquals(status.copy(shards = emptyList()), read.copy(shards = emptyList()))
        assertEquals(listOf(load, null), read.shards.map { it.load() })
        assertEquals(listOf("s0" to 12L, "s1" to 13L), read.shards.map { it.shard to it.term })
        val least = PeerStatus("plot-1", storeServes = false, leading = false)
        assertEquals(least, message("note-least", PeerStatus.serializer(), least))
        assertEquals(Generation.FIRST, least.generation)
    }

    @Test
    fun `the load of an idle shard is encoded, and an unknown load is absent`() {
        val idle = ShardLoad(0.0, 0.0, 0.0, 0.0, emptySet())
        assertEquals(idle, message("share-idle", ShardLeaderStatus.serializer(), ShardLeaderStatus.of("s0", 1, idle)).load())
        assertEquals(null, message("share-untold", ShardLeaderStatus.serializer(), ShardLeaderStatus.of("s0", 1, null)).load())
    }

    @Test
    fun `the response to a peer status names cancelled jobs if there are any`() {
        val some = message("note-answer", PeerStatusResponse.serializer(), PeerStatusResponse(9_000_000_000, 17, listOf("ab-000412", "c-7"), 19))
        assertEquals(listOf(9_000_000_000, 17L, listOf("ab-000412", "c-7"), 19L), listOf(some.incarnation, some.from, some.cancelled, some.total))
        message("note-answer-none", PeerStatusResponse.serializer(), PeerStatusResponse(1, 0, emptyList(), 0))
    }

    @Test
    fun `heartbeats, requests and their responses are relayed unchanged`() {
        val heartbeat = message("relayed-report", RelayedHeartbeat.serializer(), RelayedHeartbeat("plot-1", """{"a":1}""".toByteArray()))
        assertEquals("plot-1" to """{"a":1}""", heartbeat.from to String(heartbeat.body))
        val request = message("relayed-request", RelayedRequest.serializer(), RelayedRequest("POST", "/x/y", "é".toByteArray()))
        assertEquals(listOf("POST", "/x/y", "é"), listOf(request.method, request.path, String(request.body)))
        message("relayed-request-empty", RelayedRequest.serializer(), RelayedRequest("GET", "/x", ByteArray(0)))
        val response = message("relay-answer", RelayResponse.serializer(), RelayResponse(503, "{}".toByteArray(), 2))
        assertEquals(listOf(503, "{}", 2), listOf(response.status, String(response.body), response.retryAfterS))
        assertEquals(0, message("relay-answer-at-once", RelayResponse.serializer(), RelayResponse(200, ByteArray(0))).retryAfterS)
    }

    /** Encoded as ordinal numbers, so the order is listed here and not taken from the code under test. */
    private val actions = listOf(ForeignTaskRef.Action.QUERY, ForeignTaskRef.Action.STOP, ForeignTaskRef.Action.ACKNOWLEDGE)
    private val states = listOf(TaskState.PULLING, TaskState.RUNNING, TaskState.CHECKPOINTING, TaskState.ENDED)
    private val reasons =
        listOf(ExitReason.DONE, ExitReason.STOPPED, ExitReason.ERROR, ExitReason.INSUFFICIENT_RESOURCES) +
            listOf(ExitReason.ALREADY_RUNNING, ExitReason.UNKNOWN_TASK, ExitReason.GANG_INCOMPLETE, ExitReason.UNKNOWN)

    @Test
    fun `every action, state and exit reason is listed`() {
        assertEquals(listOf(actions, states, reasons), listOf(ForeignTaskRef.Action.entries, TaskState.entries, ExitReason.entries))
    }

    @Test
    fun `queries about foreign tasks carry every action`() {
        val refs = actions.mapIndexed { i, action -> ForeignTaskRef(TaskId("ab-000412", i), 4_000_000_000L * 65_536 + i, action) }
        val queries = listOf(ForeignTaskQuery("m-000001", refs), ForeignTaskQuery("m-000002", emptyList()))
        assertEquals(ShardQueries("s1", queries), ForeignTaskCodec.decodeQueries(pinned("guest-questions", ForeignTaskCodec.encodeQueries("s1", queries))))
        assertEquals(
            ShardQueries("s1", emptyList()),
            ForeignTaskCodec.decodeQueries(pinned("guest-questions-none", ForeignTaskCodec.encodeQueries("s1", emptyList()))),
        )
    }

    @Test
    fun `responses about foreign tasks carry every state and exit reason`() {
        val running = states.mapIndexed { i, state -> TaskStatus(TaskId("ab-000412", i), 7L + i, state, null) }
        val ended = reasons.mapIndexed { i, reason -> TaskStatus(TaskId("c-7", i), 70L + i, TaskState.ENDED, reason) }
        val responses =
            listOf(
                ForeignTaskResponse.NotOwner,
                ForeignTaskResponse.NoHeartbeatYet,
                ForeignTaskResponse.Status(running + ended),
                ForeignTaskResponse.Status(emptyList()),
            )
        assertEquals(responses, ForeignTaskCodec.decodeResponses(pinned("guest-answers", ForeignTaskCodec.encodeResponses(responses))))
        assertEquals(
            emptyList<ForeignTaskResponse>(),
            ForeignTaskCodec.decodeResponses(pinned("guest-answers-none", ForeignTaskCodec.encodeResponses(emptyList()))),
        )
    }

    @Test
    fun `peer statuses, heartbeats and queries are sent on stable paths`() {
        RecordedCalls().use { peer ->
            val settings = Fixtures.settings.copy(peers = listOf(Peer("plot-1", "south", peer.address)))
            val health = PeerHealth(peer.loop::nowMs)
            val relay = PeerRelay(peer.loop, settings, ExternalServices(settings, peer.loop, peer.group), health)
            val statusSender = PeerStatusSender(peer.loop, peer.scope, settings, relay, health, idleStatus())
            peer.respondingOnceWith(RecordedCalls.CannedResponse(200, "")) { statusSender.announce() }
            assertEquals(null, peer.respondingWith(RecordedCalls.CannedResponse(421)) { relay.heartbeat("plot-1", """{"a":1}""".toByteArray()) })
            assertEquals(
                "told",
                String(peer.respondingWith(RecordedCalls.CannedResponse(200, "told")) { relay.queryForeignTasks("plot-1", "asked".toByteArray()) }!!),
            )
            pinned("asked", peer.takeRequests())
        }
    }

    /** The status of a controller that leads no shard and knows no jobs. */
    private fun idleStatus(): LocalStatus =
        Proxy.newProxyInstance(javaClass.classLoader, arrayOf(LocalStatus::class.java)) { _, method, _ ->
            when (method.returnType) {
                Map::class.java -> emptyMap<String, Any>()
                Boolean::class.java -> false
                CancellationLogPosition::class.java -> CancellationLogPosition(incarnation = 0, next = 0)
                else -> null
            }
        } as LocalStatus
}
