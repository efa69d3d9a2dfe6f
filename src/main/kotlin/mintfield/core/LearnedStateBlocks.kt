package mintfield.core

import mintfield.core.constants.StoreConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.JobHealth

/**
 * When what the leader has learned is written, and in how many values. The images of a few hundred machines fit one; those of
 * thousands go into several, one at a time, so that they take no more of the permitted writes at once than a small fleet's.
 */
class LearnedStateBlocks(
    private val cluster: Cluster,
) {
    private var blocks: List<LearnedState> = emptyList()
    private var next = 0
    private var lastMs = Machine.NEVER

    /** The write that is due now, if any. */
    fun due(nowMs: Long): Write.SaveLearnedState? {
        if (nowMs - lastMs < pauseMs()) return null
        lastMs = nowMs
        if (next >= blocks.size) {
            blocks = pack(learned(), (cluster.limits.valueKb * VALUE_BYTES_USED).toInt())
            next = 0
        }
        return Write.SaveLearnedState(next, blocks[next]).also { next++ }
    }

    private fun pauseMs(): Long = maxOf(StoreConstants.MIN_LEARNED_STATE_INTERVAL_MS, StoreConstants.LEARNED_STATE_INTERVAL_MS / maxOf(1, blocks.size))

    private fun learned(): LearnedState {
        val sizes = HashMap<String, Double>()
        cluster.machines.values.forEach { sizes.putAll(it.images.cached) }
        val images =
            cluster.machines.values
                .filter { it.images.cached.isNotEmpty() }
                .associate {
                    it.id to
                        it.images.cached.keys
                            .toList()
                }
        val suspectJobs = cluster.unprovenJobs.filter { it.health == JobHealth.SUSPECT }.associate { it.id to it.probes }
        return LearnedState(sizes, images, cluster.runTimes.ratios.toMap(), suspectJobs)
    }

    companion object {
        /** Bytes of a value of one KiB that machines may take. */
        private const val VALUE_BYTES_USED = 850

        /** Bytes round a name: quotes, comma, brackets; and of the number with its name's size. */
        private const val NAME_FRAME = 4
        private const val SIZE_BYTES = 12

        /** Parts of [learnedState] whose machines take [maxBytes] each. The first has what is not of single machines. */
        fun pack(
            learnedState: LearnedState,
            maxBytes: Int,
        ): List<LearnedState> {
            val groups = ArrayList<Map<String, List<String>>>()
            var group = LinkedHashMap<String, List<String>>()
            var bytes = 0
            var named = HashSet<String>()
            for ((machine, images) in learnedState.machineImages) {
                val size = machine.length + NAME_FRAME + images.sumOf { it.length + NAME_FRAME + if (it in named) 0 else it.length + SIZE_BYTES }
                if (bytes + size > maxBytes && group.isNotEmpty()) {
                    groups.add(group)
                    group = LinkedHashMap()
                    named = HashSet()
                    bytes = 0
                }
                group[machine] = images
                named.addAll(images)
                bytes += size
            }
            groups.add(group)
            return groups.mapIndexed { i, machines -> part(learnedState, machines, first = i == 0) }
        }

        private fun part(
            learnedState: LearnedState,
            machines: Map<String, List<String>>,
            first: Boolean,
        ): LearnedState {
            val named = machines.values.flatten().toSet()
            val sizes = learnedState.imageGb.filterKeys { it in named }
            return if (first) LearnedState(sizes, machines, learnedState.logRatio, learnedState.suspectJobs) else LearnedState(sizes, machines, emptyMap())
        }
    }
}
