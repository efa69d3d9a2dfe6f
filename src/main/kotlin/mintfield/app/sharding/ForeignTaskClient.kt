package mintfield.app.sharding

import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponse

/** Queries the leaders of other shards about tasks that run on their machines. */
fun interface ForeignTaskClient {
    /** Returns the responses of the leader of [shard], in this process or at a peer, in the order of [queries]; null if there is no response. */
    suspend fun query(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskResponse>?
}
