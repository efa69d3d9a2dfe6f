package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/**
 * Keeps the order of jobs from postponing one of them for ever: a job that has waited long gets a turn whatever its rank. With the least
 * work first, the largest jobs would otherwise wait for as long as demand exceeds capacity.
 */
class StarvationGuard(
    private val cluster: Cluster,
    private val waiting: List<Job>,
    private val wallMs: Long,
) {
    /** A job that goes ahead of the order with up to [maxTasks] tasks. */
    class Turn(
        val job: Job,
        val maxTasks: Int,
    )

    private fun ageMs(job: Job) = wallMs - job.readySinceMs

    /**
     * The turns of this round. Arrays that have not begun in time get a few tasks, the oldest first; then those that are long overdue
     * get tasks out of a reserved fraction of [capacity], the CPUs for arrays, those of teams that hold least first.
     */
    fun turns(capacity: Double): List<Turn> {
        val turns = ArrayList<Turn>()
        addStarving(turns)
        addLongStarving(turns, capacity)
        return turns
    }

    private fun addStarving(turns: MutableList<Turn>) {
        for (job in waiting) {
            if (job.spec.shape != Shape.ARRAY || job.hasStartedTasks || ageMs(job) < PlacementConstants.STARVATION_MS) continue
            val fewTasks = maxOf(1, (job.spec.tasks * PlacementConstants.STARVATION_TASK_FRACTION).toInt())
            turns.add(Turn(job, minOf(job.schedulableTasks, fewTasks)))
        }
        turns.sortWith(compareBy({ it.job.readySinceMs }, { it.job.spec.id }))
    }

    private fun addLongStarving(
        turns: MutableList<Turn>,
        capacity: Double,
    ) {
        val overdue = cluster.jobs.values.filter { it.spec.shape == Shape.ARRAY && !it.cancelled && ageMs(it) > PlacementConstants.LONG_STARVATION_MS }
        if (overdue.isEmpty()) return
        var freeCpus = capacity * PlacementConstants.LONG_STARVATION_CPU_FRACTION - overdue.sumOf { it.activeAttempts.size * it.spec.cpus }
        val order = compareBy<Job>({ cluster.quotas.usage(it.spec.team).cpus }, { it.readySinceMs.toDouble() }).thenBy { it.spec.id }
        val eligible = waiting.toHashSet()
        for (job in overdue.filter { it in eligible }.sortedWith(order)) {
            val tasks = minOf(job.schedulableTasks, (freeCpus / maxOf(job.spec.cpus, MIN_TASK_CPUS)).toInt())
            if (tasks <= 0) break
            turns.add(Turn(job, tasks))
            freeCpus -= tasks * job.spec.cpus
        }
    }

    /**
     * Machines of [openMachines] that are kept from arrays for the gang that has waited longest beyond its time: room for all its tasks at
     * once comes about by itself only when demand is low.
     */
    fun reservedForGang(openMachines: List<Machine>): Set<Machine> {
        val gang =
            waiting
                .filter { it.spec.shape == Shape.GANG && ageMs(it) > PlacementConstants.STARVATION_MS }
                .minWithOrNull(compareBy({ it.readySinceMs }, { it.spec.id })) ?: return emptySet()
        val spec = gang.spec
        val fitting = openMachines.filter { it.type.name in gang.compatibleTypes && (!it.spot || spec.spot) && (spec.zone == null || it.zone == spec.zone) }
        val groups = if (spec.oneZone) fitting.groupBy { it.zone }.values.toList() else listOf(fitting)
        val group = groups.maxByOrNull { machines -> machines.sumOf { it.freeCpus } } ?: return emptySet()
        val reserved = LinkedHashSet<Machine>()
        var tasks = 0
        for (machine in group.sortedByDescending { it.freeCpus }) {
            if (tasks >= gang.waitingCount) break
            tasks += taskCapacity(spec, machine.type.cpus - machine.occupancy.serviceCpus, machine.type.gpus, machine.type.memoryGb)
            reserved.add(machine)
        }
        return reserved
    }

    private companion object {
        /** CPUs that a task counts with at least, so that tasks that need none are not unlimited. */
        const val MIN_TASK_CPUS = 0.01
    }
}
