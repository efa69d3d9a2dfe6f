package mintfield.core.placement

import mintfield.core.constants.TimeUnits
import java.util.PriorityQueue

/** A partition of jobs into those that can all be done on time and those that are postponed to make that possible. */
internal class OnTimeSelection(
    val onTime: Collection<DeadlineClaim>,
    val postponed: List<DeadlineClaim>,
)

/**
 * Selects as many of [claims] as can be done by their [dueMs] after other work of [loadCpuS]. The [capacity] CPUs are modelled as a single
 * machine. Jobs are added in the order of their due times. Whenever the added job would be late, the largest job so far is postponed, or
 * the added job itself if it would be late even alone.
 *
 * This is Hodgson's algorithm for the minimum number of late jobs on one machine, from J. M. Moore, "An n job, one machine sequencing
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
        val endMs = wallMs + maxOf(totalCpuS / capacity, claim.minDurationS) * TimeUnits.MS_PER_SECOND
        if (endMs > dueMs(claim)) {
            val lateAlone = wallMs + claim.minDurationS * TimeUnits.MS_PER_SECOND > dueMs(claim)
            val removed = if (lateAlone) claim.also { onTime.remove(it) } else onTime.poll()
            totalCpuS -= removed.workCpuS
            postponed.add(removed)
        }
    }
    return OnTimeSelection(onTime, postponed)
}
