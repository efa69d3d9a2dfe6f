package mintfield.app.sharing

import mintfield.core.Tuning
import mintfield.core.model.JobSpec
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.MoveTracer
import mintfield.core.ownership.ShareLoad
import mintfield.core.ownership.ShareLoads
import mintfield.core.ownership.ShareSettings
import mintfield.core.ownership.Shares
import mintfield.core.ownership.SharingSettings
import mintfield.io.store.StoreClient

/** What all leaders of this node have in common when machines are shared. */
class SharingNode(
    val settings: SharingSettings,
    store: StoreClient,
    /** The description of an unfinished job. */
    private val spec: (String) -> JobSpec?,
    /** Who leads a share, as far as is known here. */
    private val leaderOf: (String) -> String?,
    private val nowMs: () -> Long,
    val tracer: MoveTracer = MoveTracer.Off,
) : Shares,
    ShareLoads {
    val assignments = AssignmentReplica(store)
    val table get() = assignments.table

    /** The share whose leader answers reports of [machine], or is about to. */
    fun shareFor(machine: String): String? =
        when (val assignment = table.assignment(machine)) {
            null -> null
            is Assignment.Offered -> assignment.target
            else -> assignment.owner
        }

    /** Whether the jobs of [spec]'s team are scheduled by the leader of [share]. */
    fun schedules(
        share: ShareSettings,
        spec: JobSpec,
    ) = settings.ofTeam(spec.team)?.name == share.name

    /** The description of a job that another share than [share] schedules. */
    fun foreignSpec(
        share: ShareSettings,
        job: String,
    ): JobSpec? = spec(job)?.takeIf { !schedules(share, it) }

    override fun isKnown(share: String) = settings.share(share) != null

    override fun isLive(share: String) = leaderOf(share) != null

    override fun spare(share: String) = table.count(share) - (settings.share(share)?.floor ?: 0)

    private class Told(
        val load: ShareLoad,
        val atMs: Long,
    )

    private val told = HashMap<String, Told>()

    /** The leader of [share], here or at a sibling, says what its load is. */
    fun loadTold(
        share: String,
        load: ShareLoad,
    ) {
        told[share] = Told(load, nowMs())
    }

    override fun load(share: String): ShareLoad? {
        val last = told[share]?.takeIf { nowMs() - it.atMs < Tuning.LOAD_FRESH_MS }?.load ?: return null
        // One that may have no more machines is not short of any.
        return if (table.count(share) < (settings.share(share)?.ceiling ?: 0)) last else last.copy(shortCpus = 0.0, shortOf = emptySet())
    }

    override fun weight(share: String) = settings.share(share)?.weight ?: ShareSettings.DEFAULT_WEIGHT
}
