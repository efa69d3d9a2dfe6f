package mintfield.app.sharding

import mintfield.core.Scheduler
import mintfield.core.ownership.ForeignTaskResponder
import mintfield.core.ownership.HandoverAgent
import mintfield.core.ownership.LoadMeter
import mintfield.core.ownership.Rebalancer
import mintfield.core.ownership.RemoteTaskTracker
import mintfield.core.ownership.ShardOwnership
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.WeightedClaims
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.StoreClient

/** One term of leadership of [shard]. Holds the ownership, which the scheduler needs, and creates the [ShardLeader], which needs the scheduler. */
class ShardLeadership(
    private val context: ShardingContext,
    val shard: ShardSettings,
    private val loop: EventLoop,
    private val store: StoreClient,
    private val foreignTasks: ForeignTaskClient,
) {
    /** The machines that the leader manages in its term. */
    val ownership = ShardOwnership(shard.name, context.table, shard.floor, shard.ceiling) { context.foreignSpec(shard, it) }

    /** Creates the [ShardLeader] of the term. Must be called once, with the [scheduler] of the term. */
    fun createLeader(scheduler: Scheduler): ShardLeader {
        val agent = handoverAgent(scheduler)
        return ShardLeader(
            context,
            loop,
            scheduler,
            LoadMeter(scheduler.cluster),
            ForeignTaskResponder(scheduler),
            AssignmentWriter(shard, loop, store, agent, context.assignments),
            RemoteTaskFollower(context, loop, RemoteTaskTracker(scheduler), foreignTasks),
        )
    }

    private fun handoverAgent(scheduler: Scheduler): HandoverAgent {
        val rebalancer = Rebalancer(shard.name, scheduler.cluster, context.table, context.shards, context.loads)
        val names = context.settings.shards.map { it.name }
        return HandoverAgent(
            ownership,
            context.table,
            scheduler,
            context.shards,
            WeightedClaims(shard.name, context.settings.shards, context.shards::isLive),
            { rebalancer.transfers(it, names) },
            context.tracer,
        ) { Log.info(it) }
    }
}
