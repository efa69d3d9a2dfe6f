package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import java.util.PriorityQueue

/**
 * The machines for one job, the best first. They are sorted lazily during iteration, since a job uses a few machines out of thousands.
 * Each iterator starts at the best machine. Not thread-safe.
 */
internal class MachineRanking(
    spec: JobSpec,
    machines: List<Machine>,
) : Iterable<RankedMachine> {
    private val unsorted = PriorityQueue(machines.map { RankedMachine(it, spec) })
    private val sorted = ArrayList<RankedMachine>()

    override fun iterator(): Iterator<RankedMachine> =
        object : Iterator<RankedMachine> {
            private var next = 0

            override fun hasNext() = next < sorted.size || unsorted.isNotEmpty()

            override fun next(): RankedMachine {
                if (!hasNext()) throw NoSuchElementException()
                if (next == sorted.size) sorted.add(unsorted.remove())
                return sorted[next++]
            }
        }
}
