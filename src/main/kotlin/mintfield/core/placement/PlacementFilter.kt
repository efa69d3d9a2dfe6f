package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec

/** Decides on which machines tasks of [job] may be placed during one scheduling round, apart from where its image is. */
internal class PlacementFilter(
    private val job: Job,
    private val zones: ZoneConstraint,
    openMachines: List<Machine>,
    private val reserve: ReplicaReserve,
    nowMs: Long,
) {
    private val spec: JobSpec = job.spec
    private val acceptsAnyMachine = job.acceptsAnyMachine(nowMs)
    private val avoidedIds = if (!acceptsAnyMachine && failedOnFew(openMachines)) job.failedOn else emptySet()

    /** Whether the job has failed, but on less than half of the machines on which it may run, so that it can avoid these machines. */
    private fun failedOnFew(openMachines: List<Machine>): Boolean {
        if (job.failedOn.isEmpty()) return false
        return job.failedOn.size < openMachines.count { isCompatible(it) && zones.allows(it.zone) } / 2
    }

    /** Whether the job may use [machine], if its free resources suffice. */
    fun allows(machine: Machine): Boolean = machine.id !in avoidedIds && isCompatible(machine) && zones.allows(machine.zone)

    /** Whether the free resources of [machine] suffice for a task of the job, beside the reserve for replicas unless the job has waited long. */
    fun hasCapacity(machine: Machine): Boolean = hasCapacity(machine, if (acceptsAnyMachine) 0.0 else reserve.margin(machine, spec))

    /** The obstacle to a task of the job on [machine], which accepts tasks; null if there is none. */
    fun obstacle(machine: Machine): PlacementObstacle? =
        when {
            !isCompatible(machine) -> PlacementObstacle.INCOMPATIBLE
            !zones.allows(machine.zone) -> PlacementObstacle.ZONE
            !hasCapacity(machine, marginCpus = 0.0) -> PlacementObstacle.FULL
            machine.id in avoidedIds -> PlacementObstacle.FAILED_BEFORE
            !hasCapacity(machine) -> PlacementObstacle.REPLICA_RESERVE
            else -> null
        }

    private fun hasCapacity(
        machine: Machine,
        marginCpus: Double,
    ) = machine.occupancy.hasCapacityFor(spec.cpus + marginCpus, spec.gpus, spec.memoryGb)

    private fun isCompatible(machine: Machine): Boolean =
        machine.type.name in job.compatibleTypes && (spec.types == null || machine.type.name in spec.types) && (!machine.spot || spec.spot)
}
