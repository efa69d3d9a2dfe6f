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

/** State shared by all shard leaders of this controller: the settings, the assignments and the loads of the shards. */
class ShardingContext(
    val settings: ShardingSettings,
    store: StoreClient,
    /** Returns the specification of the unfinished job with the given id; null if there is no such job. */
    private val spec: (String) -> JobSpec?,
    /** Returns the controller that leads the named shard, as far as is known here; null if none is known. */
    leaderOf: (String) -> String?,
    nowMs: () -> Long,
    val tracer: MoveTracer = MoveTracer.Off,
) {
    /** The replica of the assignments and of the drained controllers. */
    val assignments = AssignmentReplica(store)

    /** The replica of the assignments. */
    val table: AssignmentTable get() = assignments.table

    /** The configured shards, with their machines and leaders as far as is known here. */
    val shards: Shards = ConfiguredShards(settings, table) { leaderOf(it) != null }

    private val reportedLoads = ReportedShardLoads(settings, table, nowMs)

    /** The loads reported by the leaders of the shards. */
    val loads: ShardLoads get() = reportedLoads

    /** The shard whose leader responds to heartbeats of [machine]: its owner, or the target once the machine is offered; null if it has no owner. */
    fun servingShardOf(machine: String): String? =
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

    /** The specification of the unfinished [job] if the leader of a shard other than [shard] schedules it; null otherwise. */
    fun foreignSpec(
        shard: ShardSettings,
        job: String,
    ): JobSpec? = spec(job)?.takeIf { !schedules(shard, it) }

    /** Records the [load] that the leader of [shard], in this process or at a peer, has reported. */
    fun recordLoad(
        shard: String,
        load: ShardLoad,
    ) = reportedLoads.record(shard, load)
}
