package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/**
 * Decides whether a task had better wait for room where its image is than take room where the image must be fetched first (delay
 * scheduling). Fetches of one machine share its rate, so tasks of many images that all take the first free room wait for minutes, and
 * meanwhile hold that room from others whose image is there.
 *
 * The idea is that of M. Zaharia et al., "Delay scheduling: a simple technique for achieving locality and fairness in cluster
 * scheduling", EuroSys 2010; here the limit of the wait follows from the backlog instead of being fixed.
 */
class ImageLocality(
    private val cluster: Cluster,
    private val openMachines: List<Machine>,
    waiting: List<Job>,
    arrayCpus: Double,
    private val nowMs: Long,
) {
    /** The machines that have one image, and the work that waits for it. */
    private class Holders(
        val cpus: Double,
        /** CPU seconds that wait for the image. */
        val waitingCpuS: Double,
    )

    /** What distinguishes the machines that count for a job: room where it may not go is none for it. */
    private data class HolderKey(
        val image: String,
        val spot: Boolean,
        val zone: String?,
        val types: Set<String>,
    )

    private val holders = HashMap<HolderKey, Holders>()
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }

    /** Seconds in which all waiting tasks would have started, if each could use any free room. */
    private val backlogS = arrays.sumOf { waitingCpuS(it) } / maxOf(1.0, arrayCpus)

    private fun waitingCpuS(job: Job) = job.schedulableTasks * job.spec.cpus * cluster.runTimes.expectedS(job)

    private fun holdersFor(job: Job): Holders {
        val spec = job.spec
        val zone = job.boundZone
        return holders.getOrPut(HolderKey(spec.image, spec.spot, zone, job.compatibleTypes)) {
            var cpus = 0.0
            for (machine in openMachines) {
                if (machine.images.has(spec.image) && mayUse(job, zone, machine)) cpus += machine.type.cpus - machine.occupancy.serviceCpus
            }
            Holders(cpus, arrays.sumOf { if (it.spec.image == spec.image) waitingCpuS(it) else 0.0 })
        }
    }

    private fun mayUse(
        job: Job,
        zone: String?,
        machine: Machine,
    ) = (!machine.spot || job.spec.spot) && (zone == null || machine.zone == zone) && machine.type.name in job.compatibleTypes

    /** Whether the machines that have the image of [job], an array, have capacity for all its waiting tasks. */
    fun hasEnoughHolders(job: Job): Boolean =
        job.spec.shape == Shape.ARRAY && holdersFor(job).cpus >= job.schedulableTasks * job.spec.cpus * PlacementConstants.IMAGE_CAPACITY_FACTOR

    /**
     * Seconds of fetching that a task of [job] may be given: no more than it would wait for room where its image is, or for any room at
     * all. Replicas take the first room there is. So does a job that has waited long for a placement: what it waits for may be held by
     * others, or be where its constraints do not let it go.
     */
    fun patienceS(job: Job): Double {
        if (job.spec.shape != Shape.ARRAY) return Double.MAX_VALUE
        if (nowMs - maxOf(job.firstSeenAtMs, job.lastPlanAtMs) > PlacementConstants.IMAGE_WAIT_LIMIT_MS) return Double.MAX_VALUE
        val found = holdersFor(job)
        if (found.cpus <= 0) return Double.MAX_VALUE
        return maxOf(backlogS, found.waitingCpuS / found.cpus) + PlacementConstants.FETCH_SLACK_S
    }
}
