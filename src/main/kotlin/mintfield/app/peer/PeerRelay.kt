package mintfield.app.peer

import kotlinx.coroutines.sync.Semaphore
import kotlinx.coroutines.sync.withPermit
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.app.ExternalServices
import mintfield.core.ConnectionLimits
import mintfield.core.constants.PeerConstants
import mintfield.core.model.Settings
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Reply
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.peer.RelayResponse
import mintfield.io.peer.RelayedHeartbeat
import mintfield.io.peer.RelayedRequest
import mintfield.io.peer.decodeOrNull

/**
 * Calls to the peers on behalf of others: passes on heartbeats and user requests that have to be answered there, and the leaders'
 * questions about foreign tasks. The number of relayed requests under way to one peer is bounded; further ones wait their turn.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerRelay(
    private val loop: EventLoop,
    private val settings: Settings,
    services: ExternalServices,
    private val health: PeerHealth,
) {
    private val lanesPerPeer = ConnectionLimits(settings).maxConcurrentRelays
    private val lanes = settings.peers.associate { it.member to Semaphore(lanesPerPeer) }
    private val lastAnswerAtMs = HashMap<String, Long>()

    /** The client for each peer, by the peer's name. */
    internal val clients: Map<String, HttpClient> =
        settings.peers.associate { it.member to services.client(it.address, maxIdle = lanesPerPeer + SPARE_CONNECTIONS) }

    /** Passes a worker's heartbeat on to [leader]; null if there is no answer in time. */
    suspend fun heartbeat(
        leader: String,
        body: ByteArray,
    ): RelayResponse? {
        val client = clients[leader] ?: return null
        val bytes = ProtoBuf.encodeToByteArray(RelayedHeartbeat.serializer(), RelayedHeartbeat(settings.member, body))
        return passOn(leader, client, PeerPaths.HEARTBEAT, bytes, PeerConstants.RELAY_TIMEOUT_MS)
    }

    /**
     * Whether [leader] answers but all lanes to it are taken: a heartbeat that has to wait for one would time out, though the leader
     * would have answered the worker itself.
     */
    fun isCongested(leader: String): Boolean {
        val lane = lanes[leader] ?: return false
        return lane.availablePermits == 0 && lastAnswerAtMs[leader]?.let { loop.nowMs() - it < PeerConstants.RELAY_RESPONSIVE_MS } ?: false
    }

    /**
     * While the state service does not serve this controller: the answer to a user's [request] by a peer that it serves. Null if
     * it serves this controller, or no peer answers. Sent away instead, the user would come back over the same connection.
     */
    suspend fun userRequest(request: HttpMessage): Response? {
        if (health.isStoreServing) return null
        val peer = health.servedPeer() ?: return null
        val client = clients[peer] ?: return null
        val relayed = RelayedRequest(request.method, request.path, request.body)
        val bytes = ProtoBuf.encodeToByteArray(RelayedRequest.serializer(), relayed)
        val answer = passOn(peer, client, PeerPaths.USER_REQUEST, bytes, PeerConstants.PEER_TIMEOUT_MS) ?: return null
        return Response(answer.status, answer.body, answer.retryAfterS.takeIf { it > 0 })
    }

    /** Asks a leader at [peer] about tasks on its machines; null if there is no answer, or it does not lead that shard. */
    suspend fun queryForeignTasks(
        peer: String,
        body: ByteArray,
    ): ByteArray? {
        val reply = clients[peer]?.call("POST", PeerPaths.FOREIGN_TASKS, body, PeerConstants.PEER_TIMEOUT_MS)
        return (reply as? Reply.Answer)?.takeIf { it.status == HttpStatus.OK }?.body
    }

    /** Sends [bytes] once one of the lanes to [peer] is free; null without an answer within [timeoutMs], the wait included. */
    private suspend fun passOn(
        peer: String,
        client: HttpClient,
        path: String,
        bytes: ByteArray,
        timeoutMs: Long,
    ): RelayResponse? {
        val reply = withTimeoutOrNull(timeoutMs) { lanes.getValue(peer).withPermit { client.call("POST", path, bytes, timeoutMs) } }
        if (reply !is Reply.Answer || reply.status != HttpStatus.OK) return null
        lastAnswerAtMs[peer] = loop.nowMs()
        return decodeOrNull(RelayResponse.serializer(), reply.body)
    }

    private companion object {
        /** Connections to a peer that are kept besides one for each lane: for status messages and foreign tasks. */
        const val SPARE_CONNECTIONS = 2
    }
}
