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
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.peer.RelayResponse
import mintfield.io.peer.RelayedHeartbeat
import mintfield.io.peer.RelayedRequest
import mintfield.io.peer.decodeOrNull

/**
 * Relays heartbeats and user requests to peers, and sends them the leaders' queries about foreign tasks. The number of relayed requests in
 * flight to one peer is bounded; further ones queue.
 */
@OptIn(ExperimentalSerializationApi::class)
class PeerRelay(
    private val loop: EventLoop,
    private val settings: Settings,
    services: ExternalServices,
    private val health: PeerHealth,
) {
    private val maxRelaysPerPeer = ConnectionLimits(settings).maxConcurrentRelays
    private val relayPermits = settings.peers.associate { it.member to Semaphore(maxRelaysPerPeer) }
    private val lastResponseAtMs = HashMap<String, Long>()

    /** The client for each peer, by the peer's name. */
    internal val clients: Map<String, HttpClient> =
        settings.peers.associate { it.member to services.client(it.address, maxIdle = maxRelaysPerPeer + SPARE_CONNECTIONS) }

    /** Relays a worker's heartbeat to [leader]; null without a response within [PeerConstants.RELAY_TIMEOUT_MS]. */
    suspend fun heartbeat(
        leader: String,
        body: ByteArray,
    ): RelayResponse? {
        val client = clients[leader] ?: return null
        val bytes = ProtoBuf.encodeToByteArray(RelayedHeartbeat.serializer(), RelayedHeartbeat(settings.member, body))
        return relay(leader, client, PeerPaths.HEARTBEAT, bytes, PeerConstants.RELAY_TIMEOUT_MS)
    }

    /**
     * Whether [leader] is responsive but the limit of relayed requests to it is reached. A further heartbeat would time out in the queue
     * although the leader would respond to the worker directly.
     */
    fun isCongested(leader: String): Boolean {
        val permits = relayPermits[leader] ?: return false
        return permits.availablePermits == 0 && lastResponseAtMs[leader]?.let { loop.nowMs() - it < PeerConstants.RELAY_RESPONSIVE_MS } ?: false
    }

    /**
     * Relays a user's [request] to a peer that the store serves, and returns its response. Null if the store serves this
     * controller, or no peer responds. The request is relayed rather than refused, since the user would retry over the same connection.
     */
    suspend fun userRequest(request: HttpMessage): Response? {
        if (health.isStoreServing) return null
        val peer = health.servedPeer() ?: return null
        val client = clients[peer] ?: return null
        val relayed = RelayedRequest(request.method, request.path, request.body)
        val bytes = ProtoBuf.encodeToByteArray(RelayedRequest.serializer(), relayed)
        val response = relay(peer, client, PeerPaths.USER_REQUEST, bytes, PeerConstants.PEER_TIMEOUT_MS) ?: return null
        return Response(response.status, response.body, response.retryAfterS.takeIf { it > 0 })
    }

    /** Queries a leader at [peer] about tasks on its machines; null without a response, or if the peer does not lead that shard. */
    suspend fun queryForeignTasks(
        peer: String,
        body: ByteArray,
    ): ByteArray? {
        val result = clients[peer]?.call("POST", PeerPaths.FOREIGN_TASKS, body, PeerConstants.PEER_TIMEOUT_MS)
        return (result as? HttpResult.Received)?.takeIf { it.status == HttpStatus.OK }?.body
    }

    /** Sends [bytes] once the limit of relayed requests to [peer] permits; null without a response within [timeoutMs], queueing included. */
    private suspend fun relay(
        peer: String,
        client: HttpClient,
        path: String,
        bytes: ByteArray,
        timeoutMs: Long,
    ): RelayResponse? {
        val result = withTimeoutOrNull(timeoutMs) { relayPermits.getValue(peer).withPermit { client.call("POST", path, bytes, timeoutMs) } }
        if (result !is HttpResult.Received || result.status != HttpStatus.OK) return null
        lastResponseAtMs[peer] = loop.nowMs()
        return decodeOrNull(RelayResponse.serializer(), result.body)
    }

    private companion object {
        /** Idle connections to a peer that are kept for status messages and foreign task queries, in addition to one per relayed request. */
        const val SPARE_CONNECTIONS = 2
    }
}
