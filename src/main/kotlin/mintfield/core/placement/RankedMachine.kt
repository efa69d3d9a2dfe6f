package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec

/**
 * A machine with the keys by which it is ranked for the tasks of one job, each worked out once. The best comes first: the shortest fetch
 * of the image, then spot machines for jobs that may use them, then the fullest (best fit).
 */
internal class RankedMachine(
    val machine: Machine,
    spec: JobSpec,
) : Comparable<RankedMachine> {
    /** See [ImageRank]. */
    val imageRank = ImageRank.of(machine, spec.image)

    /** Whole seconds. */
    private val fetchS = machine.images.fetchS(spec.image, spec.imageGb).toInt()

    /** 1 for an ordinary machine that a job which may use spot machines would occupy. */
    private val ordinary = if (spec.spot && !machine.spot) 1 else 0
    private val freeCpus = machine.freeCpus

    override fun compareTo(other: RankedMachine): Int {
        if (fetchS != other.fetchS) return fetchS.compareTo(other.fetchS)
        if (imageRank != other.imageRank) return imageRank.compareTo(other.imageRank)
        if (ordinary != other.ordinary) return ordinary.compareTo(other.ordinary)
        val byRoom = freeCpus.compareTo(other.freeCpus)
        return if (byRoom != 0) byRoom else machine.id.compareTo(other.machine.id)
    }
}
