package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/**
 * Prevents starvation: a job that has waited long gets a turn regardless of its position in the order of jobs. Because the order prefers
 * jobs with little work, the largest jobs would otherwise wait for as long as demand exceeds capacity.
 */
class StarvationGuard(
    private val cluster: Cluster,
    private val waiting: List<Job>,
    private val wallMs: Long,
) {
    /** A job of which up to [maxTasks] tasks are placed before the jobs are placed in their order. */
    class Turn(
        val job: Job,
        val maxTasks: Int,
    )

    private fun ageMs(job: Job) = wallMs - job.readySinceMs

    /**
     * The turns of a round, given the [capacity] in CPUs for arrays. Arrays without a started task after
     * [PlacementConstants.STARVATION_MS] get a few tasks, the oldest first. Then arrays that have waited for
     * [PlacementConstants.LONG_STARVATION_MS] get tasks on a reserved fraction of [capacity], those of the team that uses the fewest CPUs
     * first.
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
     * Machines of [openMachines] that are reserved for the gang that has waited longest if it has waited for over
     * [PlacementConstants.STARVATION_MS], and closed to arrays that do not accept any machine yet. Without a reservation, capacity for all its
     * tasks at once becomes free only when demand is low. A gang that its team's limit keeps from being placed has none.
     */
    fun reservedForGang(openMachines: List<Machine>): Set<Machine> {
        val gang =
            waiting
                .filter { it.spec.shape == Shape.GANG && ageMs(it) > PlacementConstants.STARVATION_MS }
                .filter { cluster.quotas.allowance(it.spec) >= it.waitingCount }
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
        /** Minimum CPUs that a task is counted with, so that the number of tasks that need no CPU is limited. */
        const val MIN_TASK_CPUS = 0.01
    }
}
