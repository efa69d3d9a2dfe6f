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

/** What the leader of a shard does besides what an only leader does: it takes part in moves of machines. Runs on the event loop. */
class ShardLeader internal constructor(
    private val context: ShardingContext,
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    private val meter: LoadMeter,
    private val responder: ForeignTaskResponder,
    private val assignmentWriter: AssignmentWriter,
    private val remoteTaskFollower: RemoteTaskFollower,
) {
    /** The load of the shard; null while its jobs are not loaded yet. */
    fun load(): ShardLoad? = if (scheduler.isReplayComplete) meter.measure() else null

    /** Answers the leader of another shard about its tasks on machines of this one, in the order of [queries]. */
    fun answer(queries: List<ForeignTaskQuery>): List<ForeignTaskResponse> = queries.map { responder.respond(it, loop.nowMs()) }

    /** Reads the assignments as they are now or later, until the store answers: a new leader acts on nothing older than its election. */
    suspend fun readAssignments() {
        while (!context.assignments.current()) delay(StoreConstants.STORE_RETRY_MS)
    }

    /** Changes assignments while [leader] may act, until cancelled. */
    suspend fun changeAssignments(leader: Leader) = assignmentWriter.run(leader)

    /** Asks what becomes of the tasks on other shards' machines while [leader] may act, until cancelled. */
    suspend fun followRemoteTasks(leader: Leader) = remoteTaskFollower.run(leader)
}
