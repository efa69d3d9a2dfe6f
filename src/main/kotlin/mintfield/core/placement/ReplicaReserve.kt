package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import mintfield.core.model.Shape

/**
 * Room on ordinary machines that arrays leave to new replicas, so that those need not displace anything. How much follows
 * from how many replicas come and go, not from the number of machines: a place kept on each of hundreds left a twentieth of
 * the fleet idle while thousands of tasks waited. While more is free than wanted arrays take any room; after that they
 * leave one place on each machine that still has more.
 */
class ReplicaReserve(
    cluster: Cluster,
    open: List<Machine>,
) {
    /** CPUs of the largest replica; 0 if there is no service. */
    private val each: Double
    private val wanted: Double
    private var free = 0.0

    init {
        var most = 0.0
        var held = 0.0
        for (job in cluster.jobs.values) if (job.spec.shape == Shape.SERVICE) most = maxOf(most, job.spec.cpus)
        for (m in open) held += m.occupancy.serviceCpus
        each = most
        wanted = maxOf(most * PlacementConstants.RESERVE_REPLICAS, held * PlacementConstants.RESERVE_CPU_FRACTION)
        for (m in open) free += roomOn(m, 0.0)
    }

    private fun roomOn(
        m: Machine,
        less: Double,
    ): Double = if (m.spot || each <= 0) 0.0 else maxOf(0.0, Math.floor((m.freeCpus - less) / each + EPSILON)) * each

    /**
     * CPUs that a task of [spec] must leave free on [m]: none unless it is an array's, and none if it takes the whole machine or
     * nearly, as it would never find room beside a place that is left to replicas.
     */
    fun margin(
        m: Machine,
        spec: JobSpec,
    ): Double = if (spec.shape != Shape.ARRAY) 0.0 else margin(m, spec.cpus)

    /** The same for a task of an array that takes [cpus]. */
    fun margin(
        m: Machine,
        cpus: Double,
    ): Double = if (m.spot || free > wanted || cpus + each > m.type.cpus) 0.0 else each

    /** A task of [cpus] is about to be planned on [m]. */
    fun taken(
        m: Machine,
        cpus: Double,
    ) {
        free -= roomOn(m, 0.0) - roomOn(m, cpus)
    }

    private companion object {
        const val EPSILON = 1e-6
    }
}
