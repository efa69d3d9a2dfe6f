package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.leader.Leader
import mintfield.core.constants.ShardingConstants
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.RemoteTaskTracker
import mintfield.io.loop.EventLoop

/** Sends the due queries of [tracker] to the leaders of the shards that own the machines, and passes the responses back to [tracker]. */
internal class RemoteTaskFollower(
    private val context: ShardingContext,
    private val loop: EventLoop,
    private val tracker: RemoteTaskTracker,
    private val client: ForeignTaskClient,
) {
    /** Sends due queries at intervals while [leader] may act, until cancelled. */
    suspend fun run(leader: Leader) {
        while (true) {
            delay(ShardingConstants.ASSIGNMENT_INTERVAL_MS)
            if (leader.mayAct() && sendDueQueries()) leader.wake()
        }
    }

    /** Sends all due queries; returns whether there were any. */
    private suspend fun sendDueQueries(): Boolean {
        val queriesByOwner = tracker.dueQueries(loop.nowMs()).groupBy { context.servingShardOf(it.machine) }
        for ((owner, queries) in queriesByOwner) {
            if (owner != null) queries.chunked(MAX_QUERIES_PER_MESSAGE).forEach { send(owner, it) }
        }
        return queriesByOwner.isNotEmpty()
    }

    private suspend fun send(
        owner: String,
        queries: List<ForeignTaskQuery>,
    ) {
        val responses = client.query(owner, queries) ?: return
        // Responses match queries by position, so a list of another length cannot be matched.
        if (responses.size != queries.size) return
        queries.zip(responses).forEach { (query, response) -> tracker.applyResponse(query, response, loop.nowMs()) }
    }

    private companion object {
        /** Maximum number of queries in one message, so that it stays within the size limit of request bodies. */
        const val MAX_QUERIES_PER_MESSAGE = 50
    }
}
