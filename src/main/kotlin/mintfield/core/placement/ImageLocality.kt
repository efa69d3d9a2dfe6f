package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/**
 * Whether a task had better wait for room where its image is than take room where it must be fetched first. Fetches of one
 * machine may share its rate, so tasks of many images that all take the first free room wait for minutes, and hold the room
 * meanwhile from others whose image is there.
 */
class ImageLocality(
    private val cluster: Cluster,
    private val open: List<Machine>,
    private val waiting: List<Job>,
    arrayCpus: Double,
    private val nowMs: Long,
) {
    private class Holders(
        val cpus: Double,
        /** CPU seconds that wait for this image. */
        val waitingS: Double,
    )

    /** What tells apart the machines that count: room where a job may not go is none for it. */
    private data class Wanted(
        val image: String,
        val spot: Boolean,
        val zone: String?,
        val types: Set<String>,
    )

    private val holders = HashMap<Wanted, Holders>()
    private val arrays = waiting.filter { it.spec.shape == Shape.ARRAY }

    /** Seconds in which all that waits would have begun, if every slot were fit for it. */
    private val backlogS = arrays.sumOf { waitingS(it) } / maxOf(1.0, arrayCpus)

    private fun waitingS(job: Job) = job.schedulableTasks * job.spec.cpus * cluster.runTimes.expectedS(job)

    private fun holders(job: Job): Holders {
        val spec = job.spec
        val zone = job.boundZone
        return holders.getOrPut(Wanted(spec.image, spec.spot, zone, job.compatibleTypes)) {
            var cpus = 0.0
            for (m in open) {
                if (!m.images.has(spec.image) || (m.spot && !spec.spot) || (zone != null && m.zone != zone) || m.type.name !in job.compatibleTypes) continue
                cpus += m.type.cpus - m.occupancy.serviceCpus
            }
            Holders(cpus, arrays.sumOf { if (it.spec.image == spec.image) waitingS(it) else 0.0 })
        }
    }

    /** Whether the machines with the image of an array hold enough for all that it has waiting. */
    fun enough(job: Job): Boolean =
        job.spec.shape == Shape.ARRAY && holders(job).cpus >= job.schedulableTasks * job.spec.cpus * PlacementConstants.IMAGE_CAPACITY_FACTOR

    /**
     * Seconds of fetching that a task of [job] may be given: no more than it would wait for room where its image is, or for
     * any room at all. Replicas take what comes first. So does a job that has waited for long without getting a place: what it
     * waits for may be held by others, or be where its rules do not let it go.
     */
    fun patienceS(job: Job): Double {
        if (job.spec.shape != Shape.ARRAY ||
            nowMs - maxOf(job.firstSeenAtMs, job.lastPlanAtMs) > PlacementConstants.IMAGE_WAIT_LIMIT_MS
        ) {
            return Double.MAX_VALUE
        }
        val h = holders(job)
        if (h.cpus <= 0) return Double.MAX_VALUE
        return maxOf(backlogS, h.waitingS / h.cpus) + PlacementConstants.FETCH_SLACK_S
    }
}
