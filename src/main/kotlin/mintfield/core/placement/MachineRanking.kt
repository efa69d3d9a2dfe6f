package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import java.util.PriorityQueue

/** How near a job's image is to a machine; the smaller the better. */
internal object ImageRank {
    const val THERE = 0
    const val FETCHING = 1
    const val ANYWHERE = 2

    fun of(
        m: Machine,
        image: String,
    ): Int =
        when {
            m.images.has(image) -> THERE
            m.images.isAwaited(image) -> FETCHING
            else -> ANYWHERE
        }
}

/** A machine with what it is ranked by for one job; each key is worked out once. */
internal class RankedMachine(
    val machine: Machine,
    spec: JobSpec,
) : Comparable<RankedMachine> {
    val image = ImageRank.of(machine, spec.image)
    private val fetchS = machine.images.fetchS(spec.image, spec.imageGb).toInt()

    /** Spot machines come first for those who may use them. */
    private val ordinary = if (spec.spot && !machine.spot) 1 else 0
    private val freeCpus = machine.freeCpus

    /** Where the image is or comes first, then spot machines for those who may use them, then the fullest. */
    override fun compareTo(other: RankedMachine): Int {
        if (fetchS != other.fetchS) return fetchS.compareTo(other.fetchS)
        if (image != other.image) return image.compareTo(other.image)
        if (ordinary != other.ordinary) return ordinary.compareTo(other.ordinary)
        val byRoom = freeCpus.compareTo(other.freeCpus)
        return if (byRoom != 0) byRoom else machine.id.compareTo(other.machine.id)
    }
}

/**
 * The machines for one job, the best first, put in order only as far as they are asked for: a job takes a few of thousands. May be gone
 * through several times.
 */
internal class MachineRanking(
    spec: JobSpec,
    machines: List<Machine>,
) : Iterable<RankedMachine> {
    private val rest = PriorityQueue(machines.map { RankedMachine(it, spec) })
    private val sorted = ArrayList<RankedMachine>()

    override fun iterator(): Iterator<RankedMachine> =
        object : Iterator<RankedMachine> {
            private var next = 0

            override fun hasNext() = next < sorted.size || rest.isNotEmpty()

            override fun next(): RankedMachine {
                if (next == sorted.size) sorted.add(rest.remove())
                return sorted[next++]
            }
        }
}
