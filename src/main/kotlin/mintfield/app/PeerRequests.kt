package mintfield.app

import mintfield.app.api.ClientRoutes
import mintfield.app.election.LeaderElections
import mintfield.app.heartbeat.HeartbeatEndpoint
import mintfield.app.peer.PeerRequestHandler
import mintfield.app.sharding.ForeignTaskRouter
import mintfield.app.sharding.ShardingContext
import mintfield.app.upgrade.VersionRecords
import mintfield.core.leadership.CancellationLog
import mintfield.core.ownership.ShardLoad
import mintfield.io.http.HttpMessage

/** Dispatches the messages of peers to the components of this controller. */
internal class PeerRequests(
    private val elections: LeaderElections,
    private val routes: ClientRoutes,
    private val heartbeats: HeartbeatEndpoint,
    private val foreignTasks: ForeignTaskRouter,
    private val sharding: ShardingContext?,
    private val versions: VersionRecords,
    private val cancellations: CancellationLog,
) : PeerRequestHandler {
    override fun peerCongested() = elections.yieldToUsers()

    override fun peerLoad(
        shard: String,
        load: ShardLoad,
    ) {
        sharding?.recordLoad(shard, load)
    }

    override fun peerLeads(
        peer: String,
        shard: String,
        term: Long,
    ) = elections.peerLeads(peer, shard, term)

    override fun peerGenerationAnnounced(
        peer: String,
        generation: Int,
    ) = versions.announced(peer, generation)

    override fun foreignTasksQueried(body: ByteArray) = foreignTasks.respond(body)

    override fun cancellationsAfter(
        incarnation: Long,
        next: Long,
    ) = cancellations.pageFrom(incarnation, next)

    override suspend fun relayedUserRequest(
        method: String,
        path: String,
        body: ByteArray,
    ) = routes.userRequest(HttpMessage(method, path, "HTTP/1.1", emptyMap(), body))

    override suspend fun relayedHeartbeat(body: ByteArray) = heartbeats.receiveRelayed(body)
}
