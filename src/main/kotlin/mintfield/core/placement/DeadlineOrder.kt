package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.jobs.Job

/**
 * Orders jobs of the same rank so that as many as possible meet their due times.
 *
 * If not all jobs can meet them, the largest are postponed until the remaining ones can (see [selectOnTime]). The selection is made for
 * the next due time of each job first, and then for the later due times of the postponed jobs.
 *
 * Jobs that can be on time are ordered by the product of their work and the time left. If the earliest due time went first, every job
 * would end just in time, and one wrong estimate would make all later jobs late. If the least work went first, large jobs would miss due
 * times that they could have met. Jobs that can meet no due time come last, the least work first.
 *
 * While demand stays high, large jobs would be postponed until they have missed even their strict objectives, which few jobs may miss.
 * Therefore a job that must start now to meet its next strict objective is expedited: it is placed ahead of all others.
 */
internal class DeadlineOrder(
    private val cluster: Cluster,
    private val claims: DeadlineClaims,
) {
    /** The order of [jobs] at the wall-clock time [wallMs]. Sets [Job.expedited] of the jobs to expedite. */
    fun sorted(
        jobs: List<Job>,
        wallMs: Long,
    ): List<Job> {
        if (jobs.size < 2) return jobs
        val capacity = maxOf(1.0, arrayCapacity(cluster))
        val (critical, rest) = jobs.map { claims.of(it, wallMs) }.partition { isDeadlineCritical(it, capacity, wallMs) }
        val expeditedSelection = expedite(critical, capacity, wallMs)
        val order = ArrayList<Job>(jobs.size)
        expeditedSelection.onTime.mapTo(order) { it.job }
        var remaining = rest + expeditedSelection.postponed
        var loadCpuS = expeditedSelection.onTime.sumOf { it.workCpuS }
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
        val neededMs = (claim.minDurationS * PlacementConstants.CRITICAL_RUN_FACTOR + claim.workCpuS / cpus) * TimeUnits.MS_PER_SECOND
        return wallMs + neededMs + PlacementConstants.CRITICAL_SLACK_MS > dueMs
    }

    /**
     * Selects the jobs of [critical] to expedite: as many as can still be on time, the earliest due time first, as long as the tasks of all
     * expedited jobs hold at most [PlacementConstants.MAX_EXPEDITED_CPU_FRACTION] of the CPUs. Returns the other jobs as postponed.
     */
    private fun expedite(
        critical: List<DeadlineClaim>,
        capacity: Double,
        wallMs: Long,
    ): OnTimeSelection {
        if (critical.isEmpty()) return OnTimeSelection(critical, critical)
        val expeditedCapacity = capacity * PlacementConstants.MAX_EXPEDITED_CPU_FRACTION
        val selection = selectOnTime(critical, 0.0, expeditedCapacity, wallMs) { it.strictDueMs!! }
        var freeCpus = expeditedCapacity
        for (job in cluster.jobs.values) if (job.expedited) freeCpus -= job.activeAttempts.size * job.spec.cpus
        val (expedited, others) =
            selection.onTime.sortedWith(compareBy({ it.strictDueMs }, { it.job.spec.id })).partition { claim ->
                val cpus = claim.job.schedulableTasks * claim.job.spec.cpus
                val fits = cpus <= freeCpus
                if (fits) freeCpus -= cpus
                fits
            }
        expedited.forEach { it.job.expedited = true }
        return OnTimeSelection(expedited, others + selection.postponed)
    }

    private companion object {
        val LEAST_WORK = compareBy<DeadlineClaim> { it.workCpuS }.thenBy { it.job.spec.id }

        /** Maximum number of due times of a job that are considered, the earliest first. */
        const val MAX_LEVELS = 5
    }
}
