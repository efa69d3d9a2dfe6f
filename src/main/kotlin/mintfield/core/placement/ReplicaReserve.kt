package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * Capacity on on-demand machines that arrays leave free for new replicas of services, so that replicas need not preempt
 * other tasks.
 *
 * The size of the reserve depends on how many replicas start and end, not on the number of machines: a reserve on each of hundreds of
 * machines would leave much of the fleet idle. While more than the reserve is free, arrays may use any machine. After that they leave
 * capacity for one replica on each machine that has it.
 */
class ReplicaReserve(
    cluster: Cluster,
    openMachines: List<Machine>,
) {
    /** CPUs of the largest replica; 0 if there is no service. */
    private val replicaCpus: Double
    private val reserveCpus: Double
    private var freeCpus = 0.0

    init {
        var largest = 0.0
        var held = 0.0
        for (job in cluster.jobs.values) if (job.spec.shape == Shape.SERVICE) largest = maxOf(largest, job.spec.cpus)
        for (machine in openMachines) held += machine.occupancy.serviceCpus
        replicaCpus = largest
        reserveCpus = maxOf(largest * PlacementConstants.RESERVE_REPLICAS, held * PlacementConstants.RESERVE_CPU_FRACTION)
        for (machine in openMachines) freeCpus += replicaCapacityCpus(machine, 0.0)
    }

    /** CPUs on [machine] that whole replicas of the largest size could use if a task used [usedCpus] of its free CPUs. */
    private fun replicaCapacityCpus(
        machine: Machine,
        usedCpus: Double,
    ): Double {
        if (machine.spot || replicaCpus <= 0) return 0.0
        return maxOf(0.0, Math.floor((machine.freeCpus - usedCpus) / replicaCpus + EPSILON)) * replicaCpus
    }

    /** CPUs that a task of [spec] must leave free on [machine]; 0 unless the job is an array. */
    fun margin(
        machine: Machine,
        spec: JobSpec,
    ): Double = if (spec.shape != Shape.ARRAY) 0.0 else margin(machine, spec.cpus)

    /**
     * CPUs that a task of an array that needs [cpus] must leave free on [machine]: 0 on spot machines and while more than the reserve is free,
     * otherwise the CPUs of one replica. It is also 0 if the task does not fit beside a replica even on an empty machine of the same type, as
     * the task could otherwise never be placed.
     */
    fun margin(
        machine: Machine,
        cpus: Double,
    ): Double = if (machine.spot || freeCpus > reserveCpus || cpus + replicaCpus > machine.type.cpus) 0.0 else replicaCpus

    /** Accounts for a task of [cpus] on [machine]. Must be called before the task is planned, while its CPUs are still free. */
    fun recordTask(
        machine: Machine,
        cpus: Double,
    ) {
        freeCpus -= replicaCapacityCpus(machine, 0.0) - replicaCapacityCpus(machine, cpus)
    }

    private companion object {
        /** Tolerance for rounding errors in sums of fractions. */
        const val EPSILON = 1e-6
    }
}
