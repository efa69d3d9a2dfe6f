package mintfield.app.sharding

import mintfield.app.election.LeaderElections
import mintfield.app.peer.PeerRelay
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.io.ownership.ForeignTaskCodec

/** Brings questions about foreign tasks to the leader of the shard that owns the machines, in this process or at a peer. */
class ForeignTaskRouter(
    private val relay: PeerRelay,
    /** The elections of this process, which come to exist after this. */
    private val elections: () -> LeaderElections,
) : ForeignTaskClient {
    override suspend fun ask(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskResponse>? {
        localLeader(shard)?.let { return it.answer(queries) }
        val controller = elections().leaderOf(shard) ?: return null
        return relay.queryForeignTasks(controller, ForeignTaskCodec.encodeQueries(shard, queries))?.let(ForeignTaskCodec::decodeResponses)
    }

    /** Answers encoded questions of a peer's leader; null if the shard asked is not led here, or they cannot be read. */
    fun answer(body: ByteArray): ByteArray? {
        val (shard, queries) = ForeignTaskCodec.decodeQueries(body) ?: return null
        return localLeader(shard)?.answer(queries)?.let(ForeignTaskCodec::encodeResponses)
    }

    private fun localLeader(shard: String): ShardLeader? = elections().ofShard(shard)?.leader?.shardLeader
}
