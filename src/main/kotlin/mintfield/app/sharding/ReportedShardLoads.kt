package mintfield.app.sharding

import mintfield.core.constants.ShardingConstants
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.ShardLoad
import mintfield.core.ownership.ShardLoads
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings

/** The last load that the leader of each shard reported. A load is valid for [ShardingConstants.LOAD_TIMEOUT_MS]. */
internal class ReportedShardLoads(
    private val settings: ShardingSettings,
    private val table: AssignmentTable,
    private val nowMs: () -> Long,
) : ShardLoads {
    private class Report(
        val load: ShardLoad,
        val atMs: Long,
    )

    private val reports = HashMap<String, Report>()

    /** Records [load], as reported now by the leader of [shard]. */
    fun record(
        shard: String,
        load: ShardLoad,
    ) {
        reports[shard] = Report(load, nowMs())
    }

    override fun load(shard: String): ShardLoad? {
        val report = reports[shard]?.takeIf { nowMs() - it.atMs < ShardingConstants.LOAD_TIMEOUT_MS } ?: return null
        val mayGrow = table.count(shard) < (settings.shard(shard)?.ceiling ?: 0)
        // A shard at its ceiling must not receive machines, so its shortage is ignored.
        return if (mayGrow) report.load else report.load.copy(shortCpus = 0.0, shortOf = emptySet())
    }

    override fun weight(shard: String) = settings.shard(shard)?.weight ?: ShardSettings.DEFAULT_WEIGHT
}
