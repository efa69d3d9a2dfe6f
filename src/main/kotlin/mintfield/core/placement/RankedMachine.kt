package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec

/**
 * A machine with the keys by which it is ranked for the tasks of one job, each computed once. The best machine comes first: the shortest
 * fetch of the image, then the lowest image rank, then spot machines for jobs that may use them, then the fewest free CPUs (best fit).
 */
internal class RankedMachine(
    val machine: Machine,
    spec: JobSpec,
) : Comparable<RankedMachine> {
    /** The [ImageRank] of the job's image on the machine. */
    val imageRank = ImageRank.of(machine, spec.image)

    /** Expected duration of the image fetch in whole seconds. */
    private val fetchS = machine.images.fetchS(spec.image, spec.imageGb).toInt()

    /** 1 if the job may use spot machines and the machine is not one, otherwise 0. */
    private val nonSpotPenalty = if (spec.spot && !machine.spot) 1 else 0
    private val freeCpus = machine.freeCpus

    override fun compareTo(other: RankedMachine): Int {
        if (fetchS != other.fetchS) return fetchS.compareTo(other.fetchS)
        if (imageRank != other.imageRank) return imageRank.compareTo(other.imageRank)
        if (nonSpotPenalty != other.nonSpotPenalty) return nonSpotPenalty.compareTo(other.nonSpotPenalty)
        val byFreeCpus = freeCpus.compareTo(other.freeCpus)
        return if (byFreeCpus != 0) byFreeCpus else machine.id.compareTo(other.machine.id)
    }
}
