package mintfield.app.sharding

import mintfield.core.model.JobSpec
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.ConfiguredShards
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.ShardLoad
import mintfield.core.ownership.ShardLoads
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings
import mintfield.core.ownership.Shards
import mintfield.io.store.StoreClient

/** What all shard leaders of this controller have in common: the settings, the assignments, the loads of the shards. */
class ShardingContext(
    val settings: ShardingSettings,
    store: StoreClient,
    /** The specification of an unfinished job. */
    private val spec: (String) -> JobSpec?,
    /** The controller that leads a shard, as far as is known here. */
    leaderOf: (String) -> String?,
    nowMs: () -> Long,
    val tracer: MoveTracer = MoveTracer.Off,
) {
    /** The replica of the assignments and of the drained controllers. */
    val assignments = AssignmentReplica(store)

    /** The replica of the assignments. */
    val table: AssignmentTable get() = assignments.table

    /** The shards, with their machines as the replica shows them. */
    val shards: Shards = ConfiguredShards(settings, table) { leaderOf(it) != null }

    private val reportedLoads = ReportedShardLoads(settings, table, nowMs)

    /** The loads that the leaders of the shards have reported. */
    val loads: ShardLoads get() = reportedLoads

    /** The shard whose leader answers heartbeats of [machine], or is about to; null if the machine has no owner. */
    fun shardFor(machine: String): String? =
        when (val assignment = table.assignment(machine)) {
            null -> null
            is Assignment.Offered -> assignment.target
            is Assignment.Owned, is Assignment.Releasing -> assignment.owner
        }

    /** Whether the leader of [shard] schedules the jobs of [spec]'s team. */
    fun schedules(
        shard: ShardSettings,
        spec: JobSpec,
    ) = settings.ofTeam(spec.team)?.name == shard.name

    /** The specification of an unfinished job that the leader of another shard than [shard] schedules; null if there is no such job. */
    fun foreignSpec(
        shard: ShardSettings,
        job: String,
    ): JobSpec? = spec(job)?.takeIf { !schedules(shard, it) }

    /** The leader of [shard], here or at a peer, reports its load. */
    fun loadReported(
        shard: String,
        load: ShardLoad,
    ) = reportedLoads.reported(shard, load)
}
