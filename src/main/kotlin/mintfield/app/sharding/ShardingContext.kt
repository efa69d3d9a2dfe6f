package mintfield.app.sharding

import mintfield.core.constants.ShardingConstants
import mintfield.core.model.JobSpec
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.ShardLoad
import mintfield.core.ownership.ShardLoads
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings
import mintfield.core.ownership.Shards
import mintfield.io.store.StoreClient

/** What all leaders of this node have in common when machines are shared. */
class ShardingContext(
    val settings: ShardingSettings,
    store: StoreClient,
    /** The description of an unfinished job. */
    private val spec: (String) -> JobSpec?,
    /** Who leads a share, as far as is known here. */
    private val leaderOf: (String) -> String?,
    private val nowMs: () -> Long,
    val tracer: MoveTracer = MoveTracer.Off,
) : Shards,
    ShardLoads {
    val assignments = AssignmentReplica(store)
    val table get() = assignments.table

    /** The share whose leader answers heartbeats of [machine], or is about to. */
    fun shardFor(machine: String): String? =
        when (val assignment = table.assignment(machine)) {
            null -> null
            is Assignment.Offered -> assignment.target
            else -> assignment.owner
        }

    /** Whether the jobs of [spec]'s team are scheduled by the leader of [shard]. */
    fun schedules(
        shard: ShardSettings,
        spec: JobSpec,
    ) = settings.ofTeam(spec.team)?.name == shard.name

    /** The description of a job that another share than [shard] schedules. */
    fun foreignSpec(
        shard: ShardSettings,
        job: String,
    ): JobSpec? = spec(job)?.takeIf { !schedules(shard, it) }

    override fun isKnown(shard: String) = settings.shard(shard) != null

    override fun isLive(shard: String) = leaderOf(shard) != null

    override fun spare(shard: String) = table.count(shard) - (settings.shard(shard)?.floor ?: 0)

    private class Observed(
        val load: ShardLoad,
        val atMs: Long,
    )

    private val observedLoads = HashMap<String, Observed>()

    /** The leader of [shard], here or at a peer, says what its load is. */
    fun loadReported(
        shard: String,
        load: ShardLoad,
    ) {
        observedLoads[shard] = Observed(load, nowMs())
    }

    override fun load(shard: String): ShardLoad? {
        val last = observedLoads[shard]?.takeIf { nowMs() - it.atMs < ShardingConstants.LOAD_TIMEOUT_MS }?.load ?: return null
        // One that may have no more machines is not short of any.
        return if (table.count(shard) < (settings.shard(shard)?.ceiling ?: 0)) last else last.copy(shortCpus = 0.0, shortOf = emptySet())
    }

    override fun weight(shard: String) = settings.shard(shard)?.weight ?: ShardSettings.DEFAULT_WEIGHT
}
