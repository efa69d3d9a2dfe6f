package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * The machines that may have room for some waiting array. When much waits most machines are full, and trying each job on each of them
 * would be most of a round's cost. A round only takes room, so what is full stays so until its end.
 */
class MachinesWithCapacity(
    private val openMachines: List<Machine>,
    waiting: List<Job>,
    private val reserve: ReplicaReserve,
) {
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }

    /** The least of each resource that a waiting array needs for a task. */
    private val cpus = arrays.minOfOrNull { it.spec.cpus } ?: 0.0
    private val gpus = arrays.minOfOrNull { it.spec.gpus } ?: 0.0
    private val memoryGb = arrays.minOfOrNull { it.spec.memoryGb } ?: 0.0
    private var withCapacity = openMachines.filter { hasCapacity(it) }
    private var jobsTried = 0

    /** Whether no machine has room for any waiting array. */
    val none: Boolean get() = withCapacity.isEmpty()

    private fun hasCapacity(machine: Machine) = machine.occupancy.hasRoomFor(cpus + reserve.margin(machine, cpus), gpus, memoryGb)

    /** Where a task of [job] could go: on any open machine, if it may preempt others or does not belong to an array. */
    fun forJob(job: Job): List<Machine> {
        if (job.spec.shape != Shape.ARRAY || job.preemptionPriority < Priority.NORMAL) return openMachines
        if (++jobsTried % REFRESH_INTERVAL_JOBS == 0) withCapacity = withCapacity.filter { hasCapacity(it) }
        return withCapacity
    }

    private companion object {
        /** Jobs tried between two checks which machines have filled up. */
        const val REFRESH_INTERVAL_JOBS = 8
    }
}
