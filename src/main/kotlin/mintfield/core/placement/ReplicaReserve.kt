package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * Room on ordinary machines that arrays leave to new replicas of services, so that those need not preempt anything. Its size follows from
 * how many replicas come and go, and not from the number of machines, as room kept on each of hundreds would leave much of the fleet idle.
 * While more than the wanted room is free, arrays may take any; after that they leave room for one replica on each machine that has it.
 */
class ReplicaReserve(
    cluster: Cluster,
    openMachines: List<Machine>,
) {
    /** CPUs of the largest replica; 0 if there is no service. */
    private val replicaCpus: Double
    private val wantedCpus: Double
    private var freeCpus = 0.0

    init {
        var largest = 0.0
        var held = 0.0
        for (job in cluster.jobs.values) if (job.spec.shape == Shape.SERVICE) largest = maxOf(largest, job.spec.cpus)
        for (machine in openMachines) held += machine.occupancy.serviceCpus
        replicaCpus = largest
        wantedCpus = maxOf(largest * PlacementConstants.RESERVE_REPLICAS, held * PlacementConstants.RESERVE_CPU_FRACTION)
        for (machine in openMachines) freeCpus += replicaRoom(machine, 0.0)
    }

    /** CPUs on [machine] that whole replicas of the largest size could take, if a task took [takenCpus] of its free ones. */
    private fun replicaRoom(
        machine: Machine,
        takenCpus: Double,
    ): Double {
        if (machine.spot || replicaCpus <= 0) return 0.0
        return maxOf(0.0, Math.floor((machine.freeCpus - takenCpus) / replicaCpus + EPSILON)) * replicaCpus
    }

    /** CPUs that a task of [spec] must leave free on [machine]; none unless the job is an array. */
    fun margin(
        machine: Machine,
        spec: JobSpec,
    ): Double = if (spec.shape != Shape.ARRAY) 0.0 else margin(machine, spec.cpus)

    /**
     * CPUs that a task of an array which takes [cpus] must leave free on [machine]; none if it takes nearly the whole machine, as it
     * would never find room beside a replica.
     */
    fun margin(
        machine: Machine,
        cpus: Double,
    ): Double = if (machine.spot || freeCpus > wantedCpus || cpus + replicaCpus > machine.type.cpus) 0.0 else replicaCpus

    /** A task of [cpus] is about to be planned on [machine]. */
    fun taken(
        machine: Machine,
        cpus: Double,
    ) {
        freeCpus -= replicaRoom(machine, 0.0) - replicaRoom(machine, cpus)
    }

    private companion object {
        /** Tolerance for sums of fractions. */
        const val EPSILON = 1e-6
    }
}
