package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/**
 * Decides whether a task waits for capacity on a machine that has its image or uses a machine that must fetch the image first (delay
 * scheduling). The fetches of a machine share its bandwidth. If tasks with many different images all used the first free capacity, they
 * would wait for minutes, and meanwhile keep that capacity from tasks whose image is present.
 *
 * The method is that of M. Zaharia et al., "Delay scheduling: a simple technique for achieving locality and fairness in cluster
 * scheduling", EuroSys 2010; here the maximum wait is derived from the backlog instead of being fixed.
 */
class ImageLocality(
    private val cluster: Cluster,
    private val openMachines: List<Machine>,
    waiting: List<Job>,
    arrayCpus: Double,
    private val nowMs: Long,
) {
    /** CPUs of the machines that have one image, and the work that waits for the image. */
    private class ImageHolders(
        val cpus: Double,
        /** CPU seconds of the waiting tasks that use the image. */
        val waitingCpuS: Double,
    )

    /** The properties of a job that determine its image and the machines on which it may run. */
    private data class ImageHoldersKey(
        val image: String,
        val spot: Boolean,
        val zone: String?,
        val types: Set<String>,
    )

    private val holders = HashMap<ImageHoldersKey, ImageHolders>()
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }

    /** Seconds until all waiting tasks would have started if each could use any free capacity. */
    private val backlogS = arrays.sumOf { waitingCpuS(it) } / maxOf(1.0, arrayCpus)

    private fun waitingCpuS(job: Job) = job.schedulableTasks * job.spec.cpus * cluster.runTimes.expectedS(job)

    private fun holdersFor(job: Job): ImageHolders {
        val spec = job.spec
        val zone = job.boundZone
        return holders.getOrPut(ImageHoldersKey(spec.image, spec.spot, zone, job.compatibleTypes)) {
            var cpus = 0.0
            for (machine in openMachines) {
                if (machine.images.has(spec.image) && mayUse(job, zone, machine)) cpus += machine.type.cpus - machine.occupancy.serviceCpus
            }
            ImageHolders(cpus, arrays.sumOf { if (it.spec.image == spec.image) waitingCpuS(it) else 0.0 })
        }
    }

    private fun mayUse(
        job: Job,
        zone: String?,
        machine: Machine,
    ) = (!machine.spot || job.spec.spot) && (zone == null || machine.zone == zone) && machine.type.name in job.compatibleTypes

    /** Whether [job] is an array and the machines that have its image have capacity for all its waiting tasks. */
    fun imageHoldersHaveCapacityFor(job: Job): Boolean =
        job.spec.shape == Shape.ARRAY && holdersFor(job).cpus >= job.schedulableTasks * job.spec.cpus * PlacementConstants.IMAGE_CAPACITY_FACTOR

    /**
     * The longest image fetch that is accepted for a task of [job], in seconds: the expected wait for capacity on machines that have the
     * image, or for any capacity if that is longer, plus [PlacementConstants.FETCH_SLACK_S].
     *
     * Fetches of any length are accepted for replicas and gangs, if no machine has the image, and for a job that has waited long for a
     * placement: other jobs may hold the machines that have its image, or its constraints may exclude them.
     */
    fun maxFetchS(job: Job): Double {
        if (job.spec.shape != Shape.ARRAY) return Double.MAX_VALUE
        if (job.placementWaitMs(nowMs) > PlacementConstants.IMAGE_WAIT_LIMIT_MS) return Double.MAX_VALUE
        val imageHolders = holdersFor(job)
        if (imageHolders.cpus <= 0) return Double.MAX_VALUE
        return maxOf(backlogS, imageHolders.waitingCpuS / imageHolders.cpus) + PlacementConstants.FETCH_SLACK_S
    }
}
