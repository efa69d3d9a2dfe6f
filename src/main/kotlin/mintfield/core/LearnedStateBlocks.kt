package mintfield.core

import mintfield.core.constants.StoreConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.JobHealth

/**
 * Decides when learned estimates are saved, and in how many values of the state service. A large fleet's take several blocks; one is
 * written at a time, so that they need no more of the permitted writes at once than a small fleet's.
 */
class LearnedStateBlocks(
    private val cluster: Cluster,
) {
    private var blocks: List<LearnedState> = emptyList()
    private var next = 0
    private var lastWriteMs = Machine.NEVER

    /** The write that is due now; null if none is. Each call that returns one moves on to the next block. */
    fun due(nowMs: Long): Write.SaveLearnedState? {
        if (nowMs - lastWriteMs < intervalMs()) return null
        lastWriteMs = nowMs
        if (next >= blocks.size) {
            blocks = pack(current(), (cluster.limits.valueKb * VALUE_BYTES_USED).toInt())
            next = 0
        }
        val block = next++
        return Write.SaveLearnedState(block, blocks[block])
    }

    private fun intervalMs(): Long = maxOf(StoreConstants.MIN_LEARNED_STATE_INTERVAL_MS, StoreConstants.LEARNED_STATE_INTERVAL_MS / maxOf(1, blocks.size))

    private fun current(): LearnedState {
        val imageGb = HashMap<String, Double>()
        val machineImages = LinkedHashMap<String, List<String>>()
        for (machine in cluster.machines.values) {
            val cached = machine.images.cached
            imageGb.putAll(cached)
            if (cached.isNotEmpty()) machineImages[machine.id] = cached.keys.toList()
        }
        val suspectJobs = cluster.unprovenJobs.filter { it.health == JobHealth.SUSPECT }.associate { it.id to it.failureRecord.probes }
        return LearnedState(imageGb, machineImages, cluster.runTimes.ratios.toMap(), suspectJobs)
    }

    /** How learned estimates are divided into blocks. */
    companion object {
        /** Bytes of a value of one KiB that machines may take. */
        private const val VALUE_BYTES_USED = 850

        /** Bytes round a name: quotes, comma, brackets. */
        private const val NAME_FRAME = 4

        /** Bytes of an image's size, with the frame of its name. */
        private const val SIZE_BYTES = 12

        /** Divides [learnedState] so that the machines of each block take [maxBytes] at the most. What concerns no machine is in the first. */
        fun pack(
            learnedState: LearnedState,
            maxBytes: Int,
        ): List<LearnedState> = group(learnedState.machineImages, maxBytes).mapIndexed { i, machines -> block(learnedState, machines, isFirst = i == 0) }

        private fun group(
            machineImages: Map<String, List<String>>,
            maxBytes: Int,
        ): List<Map<String, List<String>>> {
            val groups = ArrayList<Map<String, List<String>>>()
            var group = LinkedHashMap<String, List<String>>()
            var bytes = 0
            var imagesInGroup = HashSet<String>()
            for ((machine, images) in machineImages) {
                val size = sizeOf(machine, images, imagesInGroup)
                if (bytes + size > maxBytes && group.isNotEmpty()) {
                    groups.add(group)
                    group = LinkedHashMap()
                    imagesInGroup = HashSet()
                    bytes = 0
                }
                group[machine] = images
                imagesInGroup.addAll(images)
                bytes += size
            }
            groups.add(group)
            return groups
        }

        /** Bytes that [machine] takes in a block which already contains the sizes of the images [alreadyIn]. */
        private fun sizeOf(
            machine: String,
            images: List<String>,
            alreadyIn: Set<String>,
        ): Int = machine.length + NAME_FRAME + images.sumOf { it.length + NAME_FRAME + if (it in alreadyIn) 0 else it.length + SIZE_BYTES }

        private fun block(
            learnedState: LearnedState,
            machines: Map<String, List<String>>,
            isFirst: Boolean,
        ): LearnedState {
            val images = machines.values.flatten().toSet()
            val imageGb = learnedState.imageGb.filterKeys { it in images }
            return if (isFirst) learnedState.copy(imageGb = imageGb, machineImages = machines) else LearnedState(imageGb, machines, emptyMap())
        }
    }
}
