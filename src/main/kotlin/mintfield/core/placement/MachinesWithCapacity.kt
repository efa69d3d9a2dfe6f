package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * The machines that may have capacity for at least one waiting array. While many jobs wait, most machines are full, and trying each job on
 * each of them would be most of the cost of a round. Free capacity only decreases during a round, so a full machine stays full until its
 * end.
 */
class MachinesWithCapacity(
    private val openMachines: List<Machine>,
    waiting: List<Job>,
    private val reserve: ReplicaReserve,
    nowMs: Long,
) {
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }

    /** The minimum of CPUs that a task needs of the arrays that may use the reserve for replicas. */
    private val cpusWithReserve = arrays.filter { it.acceptsAnyMachine(nowMs) }.minOfOrNull { it.spec.cpus } ?: Double.MAX_VALUE

    /** The CPUs that tasks need of the other arrays. The reserve beside a task depends on its size: a large one may need less in all. */
    private val cpusBesideReserve = arrays.filterNot { it.acceptsAnyMachine(nowMs) }.mapTo(HashSet()) { it.spec.cpus }

    /** The minimum of the other resources that a task of any waiting array needs. */
    private val gpus = arrays.minOfOrNull { it.spec.gpus } ?: 0.0
    private val memoryGb = arrays.minOfOrNull { it.spec.memoryGb } ?: 0.0
    private var withCapacity = openMachines.filter { hasCapacity(it) }
    private var jobsTried = 0

    /** Whether no machine has capacity for any waiting array. */
    val isEmpty: Boolean get() = withCapacity.isEmpty()

    private fun hasCapacity(machine: Machine): Boolean {
        val besideReserve = cpusBesideReserve.minOfOrNull { it + reserve.margin(machine, it) } ?: Double.MAX_VALUE
        return machine.occupancy.hasCapacityFor(minOf(cpusWithReserve, besideReserve), gpus, memoryGb)
    }

    /** The machines on which a task of [job] could be placed: all open machines if the job may preempt others or is not an array. */
    fun forJob(job: Job): List<Machine> {
        if (job.spec.shape != Shape.ARRAY || job.preemptionPriority < Priority.NORMAL) return openMachines
        if (++jobsTried % REFRESH_INTERVAL_JOBS == 0) withCapacity = withCapacity.filter { hasCapacity(it) }
        return withCapacity
    }

    private companion object {
        /** Number of jobs tried between two removals of machines that have become full. */
        const val REFRESH_INTERVAL_JOBS = 8
    }
}
