package mintfield.app.sharding

import mintfield.app.election.LeaderElections
import mintfield.app.peer.PeerRelay
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.io.ownership.ForeignTaskCodec

/** Routes queries about foreign tasks to the leader of the shard that owns the machines, in this process or at a peer. */
class ForeignTaskRouter(
    private val relay: PeerRelay,
    /** Returns the elections of this process; a function, since they are created after the router. */
    private val elections: () -> LeaderElections,
) : ForeignTaskClient {
    override suspend fun query(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskResponse>? {
        localLeader(shard)?.let { return it.respond(queries) }
        val controller = elections().leaderOf(shard) ?: return null
        return relay.queryForeignTasks(controller, ForeignTaskCodec.encodeQueries(shard, queries))?.let(ForeignTaskCodec::decodeResponses)
    }

    /** Returns the encoded responses to the queries in [body] from a peer; null if this process does not lead the shard or [body] is invalid. */
    fun respond(body: ByteArray): ByteArray? {
        val (shard, queries) = ForeignTaskCodec.decodeQueries(body) ?: return null
        return localLeader(shard)?.respond(queries)?.let(ForeignTaskCodec::encodeResponses)
    }

    private fun localLeader(shard: String): ShardLeader? = elections().ofShard(shard)?.leader?.shardLeader
}
