package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * What keeps the order of claims from putting a job off for ever: a job that has waited long gets its turn whatever it
 * is worth. With the least work first the largest jobs would otherwise wait for as long as demand stays above capacity.
 */
class StarvationGuard(
    private val cluster: Cluster,
    private val waiting: List<Job>,
    private val wallMs: Long,
) {
    private fun ageMs(job: Job) = wallMs - job.readySinceMs

    /**
     * Arrays whose turn it is, with how many tasks each may have now: those that have not begun in time get a few, the
     * oldest first; then those long overdue, out of a share of all CPUs, teams that hold least first.
     */
    fun first(capacity: Double): List<Pair<Job, Int>> {
        val turns = ArrayList<Pair<Job, Int>>()
        for (job in waiting) {
            if (job.spec.shape != Shape.ARRAY || job.begun || ageMs(job) < PlacementConstants.STARVATION_MS) continue
            turns.add(job to minOf(job.schedulableTasks, maxOf(1, (job.spec.tasks * PlacementConstants.STARVATION_TASK_FRACTION).toInt())))
        }
        turns.sortWith(compareBy({ it.first.readySinceMs }, { it.first.spec.id }))
        val old = cluster.jobs.values.filter { it.spec.shape == Shape.ARRAY && !it.cancelled && ageMs(it) > PlacementConstants.LONG_STARVATION_MS }
        if (old.isEmpty()) return turns
        var room = capacity * PlacementConstants.LONG_STARVATION_CPU_FRACTION - old.sumOf { it.activeAttempts.size * it.spec.cpus }
        val order = compareBy<Job>({ cluster.quotas.usage(it.spec.team).cpus }, { it.readySinceMs.toDouble() }).thenBy { it.spec.id }
        val asking = waiting.toHashSet()
        for (job in old.filter { it in asking }.sortedWith(order)) {
            val tasks = minOf(job.schedulableTasks, (room / maxOf(job.spec.cpus, LEAST_CPUS)).toInt())
            if (tasks <= 0) break
            turns.add(job to tasks)
            room -= tasks * job.spec.cpus
        }
        return turns
    }

    /**
     * Machines kept from arrays for the gang that has waited longest past its time: room for all of its tasks at once
     * comes by itself only when little else is asked for.
     */
    fun setAside(open: List<Machine>): Set<Machine> {
        val gang =
            waiting
                .filter { it.spec.shape == Shape.GANG && ageMs(it) > PlacementConstants.STARVATION_MS }
                .minWithOrNull(compareBy({ it.readySinceMs }, { it.spec.id })) ?: return emptySet()
        val spec = gang.spec
        val fitting = open.filter { it.type.name in gang.compatibleTypes && (!it.spot || spec.spot) && (spec.zone == null || it.zone == spec.zone) }
        val zones = if (spec.oneZone) fitting.groupBy { it.zone }.values.toList() else listOf(fitting)
        val chosen = LinkedHashSet<Machine>()
        val best = zones.maxByOrNull { ms -> ms.sumOf { it.freeCpus } } ?: return emptySet()
        var room = 0
        for (m in best.sortedByDescending { it.freeCpus }) {
            if (room >= gang.waitingCount) break
            room += roomFor(spec, m.type.cpus - m.serviceCpus, m.type.gpus, m.type.memoryGb)
            chosen.add(m)
        }
        return chosen
    }

    fun openTo(
        job: Job,
        open: List<Machine>,
        setAside: Set<Machine>,
    ): List<Machine> = if (setAside.isEmpty() || job.spec.shape != Shape.ARRAY) open else open.filter { it !in setAside }

    private companion object {
        /** CPUs a task is taken to need at least, so that tasks that need none do not count as free of charge. */
        const val LEAST_CPUS = 0.01
    }
}

/** How many tasks of [spec] this much room holds. */
fun roomFor(
    spec: JobSpec,
    cpus: Double,
    gpus: Double,
    memoryGb: Double,
): Int {
    var n = Math.floor(memoryGb / maxOf(spec.memoryGb, 1e-6))
    if (spec.cpus > 0) n = minOf(n, Math.floor(cpus / spec.cpus + 1e-6))
    if (spec.gpus > 0) n = minOf(n, Math.floor(gpus / spec.gpus + 1e-6))
    return maxOf(0.0, n).toInt().coerceAtMost(spec.tasks)
}
