package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.jobs.Job

/**
 * Orders jobs of the same rank so that as many as possible meet their due times.
 *
 * Where not all can, the largest are postponed until the rest can (see [selectOnTime]): first for the due times that come next, then, of
 * those postponed, for their later ones. What can be in time is served in the order of work times time left. With the earliest due time
 * first, every job would end just in time, and one wrong estimate make all after it late; with the least work first, large jobs would
 * miss due times that they could have met. What can meet no due time comes last, the least work first.
 *
 * While demand stays high, large jobs would be postponed until they have missed even the strict objectives, which few jobs may miss. So
 * a job that must start now to meet its next strict objective is boosted: it goes before all others.
 */
internal class DeadlineOrder(
    private val cluster: Cluster,
    private val claims: DeadlineClaims,
) {
    /** The order of [jobs] at the time of day [wallMs]. Sets [Job.expedited] of those that are boosted. */
    fun sorted(
        jobs: List<Job>,
        wallMs: Long,
    ): List<Job> {
        if (jobs.size < 2) return jobs
        val capacity = maxOf(1.0, arrayCapacity(cluster))
        val (critical, rest) = jobs.map { claims.of(it, wallMs) }.partition { isDeadlineCritical(it, capacity, wallMs) }
        val boost = boost(critical, capacity, wallMs)
        val order = ArrayList<Job>(jobs.size)
        boost.onTime.mapTo(order) { it.job }
        var remaining = rest + boost.postponed
        var loadCpuS = boost.onTime.sumOf { it.workCpuS }
        var level = 0
        while (level < MAX_LEVELS && remaining.any { it.dueTimesMs.size > level }) {
            val at = level
            val (withDueTime, without) = remaining.partition { it.dueTimesMs.size > at }
            val selection = selectOnTime(withDueTime, loadCpuS, capacity, wallMs) { it.dueTimesMs[at] }
            loadCpuS += selection.onTime.sumOf { it.workCpuS }
            val byWorkAndTimeLeft = compareBy<DeadlineClaim> { it.workCpuS * (it.dueTimesMs[at] - wallMs) }.thenBy { it.job.spec.id }
            selection.onTime.sortedWith(byWorkAndTimeLeft).mapTo(order) { it.job }
            remaining = selection.postponed + without
            level++
        }
        remaining.sortedWith(LEAST_WORK).mapTo(order) { it.job }
        return order
    }

    /** Whether [claim] must start now to meet its next strict objective. */
    private fun isDeadlineCritical(
        claim: DeadlineClaim,
        capacity: Double,
        wallMs: Long,
    ): Boolean {
        val dueMs = claim.strictDueMs ?: return false
        val cpus = capacity * PlacementConstants.CRITICAL_CPU_FRACTION
        val neededMs = (claim.leastS * PlacementConstants.CRITICAL_RUN_FACTOR + claim.workCpuS / cpus) * TimeUnits.MS_PER_SECOND
        return wallMs + neededMs + PlacementConstants.CRITICAL_SLACK_MS > dueMs
    }

    /**
     * Selects those of [critical] that are boosted: as many as can still be in time, the earliest due time first, as long as the tasks of
     * all boosted jobs hold no more than their fraction of the CPUs.
     */
    private fun boost(
        critical: List<DeadlineClaim>,
        capacity: Double,
        wallMs: Long,
    ): OnTimeSelection {
        if (critical.isEmpty()) return OnTimeSelection(critical, critical)
        val boostedCapacity = capacity * PlacementConstants.MAX_BOOSTED_CPU_FRACTION
        val selection = selectOnTime(critical, 0.0, boostedCapacity, wallMs) { it.strictDueMs!! }
        var freeCpus = boostedCapacity
        for (job in cluster.jobs.values) if (job.expedited) freeCpus -= job.activeAttempts.size * job.spec.cpus
        val (boosted, others) =
            selection.onTime.sortedWith(compareBy({ it.strictDueMs }, { it.job.spec.id })).partition { claim ->
                val cpus = claim.job.schedulableTasks * claim.job.spec.cpus
                val fits = cpus <= freeCpus
                if (fits) freeCpus -= cpus
                fits
            }
        boosted.forEach { it.job.expedited = true }
        return OnTimeSelection(boosted, others + selection.postponed)
    }

    private companion object {
        val LEAST_WORK = compareBy<DeadlineClaim> { it.workCpuS }.thenBy { it.job.spec.id }

        /** Due times of a job, in order, that are considered. */
        const val MAX_LEVELS = 5
    }
}
