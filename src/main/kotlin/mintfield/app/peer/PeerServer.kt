package mintfield.app.peer

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.app.election.LeaderElections
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.peer.PeerStatus
import mintfield.io.peer.PeerStatusResponse
import mintfield.io.peer.RelayResponse
import mintfield.io.peer.RelayedHeartbeat
import mintfield.io.peer.RelayedRequest
import mintfield.io.peer.decodeOrNull

/** Serves the peer port: status messages, relayed heartbeats, relayed user requests and foreign task queries. */
@OptIn(ExperimentalSerializationApi::class)
class PeerServer(
    private val health: PeerHealth,
    private val progress: PeerProgressTable,
    private val handler: PeerRequestHandler,
) {
    /** Responds to one request of a peer. */
    suspend fun receive(request: HttpMessage): Response {
        val path = request.path
        if (path !in PATHS) return Response.error(HttpStatus.NOT_FOUND, "no such path")
        if (request.method != "POST") return Response.error(HttpStatus.METHOD_NOT_ALLOWED, "only POST is served here")
        return when (path) {
            PeerPaths.FOREIGN_TASKS -> foreignTasks(request.body)
            PeerPaths.HEARTBEAT -> heartbeat(request.body)
            PeerPaths.USER_REQUEST -> userRequest(request.body)
            else -> status(request.body)
        }
    }

    private fun foreignTasks(body: ByteArray): Response =
        handler.foreignTasksQueried(body)?.let { Response(HttpStatus.OK, it) } ?: Response.error(HttpStatus.CONFLICT, "not led here")

    private suspend fun heartbeat(body: ByteArray): Response {
        val relayed = decodeOrNull(RelayedHeartbeat.serializer(), body) ?: return Response.error(HttpStatus.BAD_REQUEST, "not a report")
        val response = handler.relayedHeartbeat(relayed.body)
        return relayed(RelayResponse(response.status, response.body))
    }

    private suspend fun userRequest(body: ByteArray): Response {
        val relayed = decodeOrNull(RelayedRequest.serializer(), body) ?: return Response.error(HttpStatus.BAD_REQUEST, "not a request")
        val response = handler.relayedUserRequest(relayed.method, relayed.path, relayed.body)
        return relayed(RelayResponse(response.status, response.body, response.retryAfterS ?: 0))
    }

    private fun relayed(response: RelayResponse) = Response(HttpStatus.OK, ProtoBuf.encodeToByteArray(RelayResponse.serializer(), response))

    private fun status(body: ByteArray): Response {
        val status = decodeOrNull(PeerStatus.serializer(), body) ?: return Response.error(HttpStatus.BAD_REQUEST, "not a note")
        health.statusReceived(status.member, status.storeServes)
        handler.peerGenerationAnnounced(status.member, status.generation)
        if (status.congested) handler.peerCongested()
        if (status.leading) leaderStatus(status)
        val page = handler.cancellationsAfter(status.readIncarnation, status.readNext)
        val response = PeerStatusResponse(page.incarnation, page.from, page.ids, page.total)
        return Response(HttpStatus.OK, ProtoBuf.encodeToByteArray(PeerStatusResponse.serializer(), response))
    }

    private fun leaderStatus(status: PeerStatus) {
        progress.update(status)
        if (status.term > 0) handler.peerLeads(status.member, LeaderElections.UNSHARDED, status.term)
        for (shardStatus in status.shards) {
            handler.peerLeads(status.member, shardStatus.shard, shardStatus.term)
            shardStatus.load()?.let { handler.peerLoad(shardStatus.shard, it) }
        }
    }

    private companion object {
        val PATHS = setOf(PeerPaths.STATUS, PeerPaths.HEARTBEAT, PeerPaths.USER_REQUEST, PeerPaths.FOREIGN_TASKS)
    }
}
