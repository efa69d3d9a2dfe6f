package mintfield.core.placement

import mintfield.core.constants.TimeUnits
import java.util.PriorityQueue

/** A split of jobs into those that can all be done in time and those that are postponed for them. */
internal class OnTimeSelection(
    val onTime: Collection<DeadlineClaim>,
    val postponed: List<DeadlineClaim>,
)

/**
 * Selects as many of [claims] as can be done by their [dueMs], after other work of [loadCpuS], on [capacity] CPUs that are taken for one
 * machine. Jobs are added by due time; whenever one would be late, the largest so far is postponed, or the added job itself if it could
 * not be in time even alone.
 *
 * This is Hodgson's algorithm for the least number of late jobs on one machine, from J. M. Moore, "An n job, one machine sequencing
 * algorithm for minimizing the number of late jobs", Management Science 15(1), 1968. It runs in O(n log n).
 */
internal inline fun selectOnTime(
    claims: List<DeadlineClaim>,
    loadCpuS: Double,
    capacity: Double,
    wallMs: Long,
    crossinline dueMs: (DeadlineClaim) -> Double,
): OnTimeSelection {
    val onTime = PriorityQueue<DeadlineClaim>(compareByDescending { it.workCpuS })
    val postponed = ArrayList<DeadlineClaim>()
    var totalCpuS = loadCpuS
    for (claim in claims.sortedWith(compareBy({ dueMs(it) }, { it.job.spec.id }))) {
        onTime.add(claim)
        totalCpuS += claim.workCpuS
        val endMs = wallMs + maxOf(totalCpuS / capacity, claim.leastS) * TimeUnits.MS_PER_SECOND
        if (endMs > dueMs(claim)) {
            val lateAlone = wallMs + claim.leastS * TimeUnits.MS_PER_SECOND > dueMs(claim)
            val removed = if (lateAlone) claim.also { onTime.remove(it) } else onTime.poll()
            totalCpuS -= removed.workCpuS
            postponed.add(removed)
        }
    }
    return OnTimeSelection(onTime, postponed)
}
