package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.leader.Leader
import mintfield.core.Scheduler
import mintfield.core.constants.StoreConstants
import mintfield.core.ownership.ForeignTaskQuery
import mintfield.core.ownership.ForeignTaskResponder
import mintfield.core.ownership.ForeignTaskResponse
import mintfield.core.ownership.LoadMeter
import mintfield.core.ownership.ShardLoad
import mintfield.io.loop.EventLoop

/** The part of a leader that exists only with sharding: moves of machines and tasks that cross shards. Not thread-safe: event loop only. */
class ShardLeader internal constructor(
    private val context: ShardingContext,
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val meter: LoadMeter,
    private val responder: ForeignTaskResponder,
    private val assignmentWriter: AssignmentWriter,
    private val remoteTaskFollower: RemoteTaskFollower,
) {
    /** Returns the load of the shard; null until its jobs are loaded. */
    fun load(): ShardLoad? = if (scheduler.isReplayComplete) meter.measure() else null

    /** Returns the responses to [queries] of another shard's leader about its tasks on machines of this shard, in the same order. */
    fun respond(queries: List<ForeignTaskQuery>): List<ForeignTaskResponse> = queries.map { responder.respond(it, loop.nowMs()) }

    /** Brings the replica of the assignments up to date, with retries until the store responds. A new leader must not act on older assignments. */
    suspend fun readAssignments() {
        while (!context.assignments.refresh()) delay(StoreConstants.STORE_RETRY_MS)
    }

    /** Writes due changes of assignments while [leader] may act, until cancelled. */
    suspend fun changeAssignments(leader: Leader) = assignmentWriter.run(leader)

    /** Queries the state of this shard's tasks on machines of other shards while [leader] may act, until cancelled. */
    suspend fun followRemoteTasks(leader: Leader) = remoteTaskFollower.run(leader)
}
