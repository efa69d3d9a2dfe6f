package mintfield.app.sharding

import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponse

/** Asks the leaders of other shards about tasks on their machines. */
fun interface ForeignTaskClient {
    /** The answers of the leader of [shard], here or at a peer, in the order of [queries]; null if there is no answer. */
    suspend fun ask(
        shard: String,
        queries: List<ForeignTaskQuery>,
    ): List<ForeignTaskResponse>?
}
