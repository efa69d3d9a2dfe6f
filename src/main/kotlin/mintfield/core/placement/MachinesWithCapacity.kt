package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * The machines that may have room for some array that waits. When much waits most are full, and to try each job on each of
 * them was most of a round's cost. A round only takes room, so what is full once stays so until its end.
 */
class MachinesWithCapacity(
    private val open: List<Machine>,
    waiting: List<Job>,
    private val reserve: ReplicaReserve,
) {
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }
    private val cpus = arrays.minOfOrNull { it.spec.cpus } ?: 0.0
    private val gpus = arrays.minOfOrNull { it.spec.gpus } ?: 0.0
    private val memoryGb = arrays.minOfOrNull { it.spec.memoryGb } ?: 0.0
    private var withCapacity = open.filter { hasRoom(it) }
    private var tried = 0

    val none: Boolean get() = withCapacity.isEmpty()

    private fun hasRoom(m: Machine) = m.occupancy.hasRoomFor(cpus + reserve.margin(m, cpus), gpus, memoryGb)

    /** Where a task of [job] could go: all open machines, if it may displace others or is no array's. */
    fun forJob(job: Job): List<Machine> {
        if (job.spec.shape != Shape.ARRAY || job.displacingPriority < Priority.NORMAL) return open
        if (++tried % LOOK_AGAIN == 0) withCapacity = withCapacity.filter { hasRoom(it) }
        return withCapacity
    }

    private companion object {
        /** Jobs tried between two looks at which machines have filled up. */
        const val LOOK_AGAIN = 8
    }
}
