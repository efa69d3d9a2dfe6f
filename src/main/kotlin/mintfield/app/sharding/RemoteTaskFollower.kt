package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.leader.Leader
import mintfield.core.constants.ShardingConstants
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.RemoteTaskTracker
import mintfield.io.loop.EventLoop

/** Carries the queries of [tracker] to the leaders of the shards that own the machines, and their answers back. */
internal class RemoteTaskFollower(
    private val context: ShardingContext,
    private val loop: EventLoop,
    private val tracker: RemoteTaskTracker,
    private val client: ForeignTaskClient,
) {
    /** Asks while [leader] may act, until cancelled. */
    suspend fun run(leader: Leader) {
        while (true) {
            delay(ShardingConstants.ASSIGNMENT_INTERVAL_MS)
            if (leader.mayAct() && askDueQueries()) leader.wake()
        }
    }

    /** Returns whether any query was due. */
    private suspend fun askDueQueries(): Boolean {
        val queriesByOwner = tracker.dueQueries(loop.nowMs()).groupBy { context.shardFor(it.machine) }
        for ((owner, queries) in queriesByOwner) {
            if (owner != null) queries.chunked(MAX_QUERIES_PER_MESSAGE).forEach { ask(owner, it) }
        }
        return queriesByOwner.isNotEmpty()
    }

    private suspend fun ask(
        owner: String,
        queries: List<ForeignTaskQuery>,
    ) {
        val answers = client.ask(owner, queries) ?: return
        // Answers belong to queries by position, so any other number of them cannot be assigned.
        if (answers.size != queries.size) return
        queries.zip(answers).forEach { (query, answer) -> tracker.applyResponse(query, answer, loop.nowMs()) }
    }

    private companion object {
        /** Machines asked about in one message, which keeps it within the limit on request bodies. */
        const val MAX_QUERIES_PER_MESSAGE = 50
    }
}
