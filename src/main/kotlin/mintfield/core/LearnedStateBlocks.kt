package mintfield.core

import mintfield.core.constants.StoreConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.JobHealth

/**
 * Schedules the writes of learned estimates and divides them into blocks, one value of the store each. Blocks are written one
 * at a time, so that a large fleet uses no more of the write limit at once than a small one.
 */
class LearnedStateBlocks(
    private val cluster: Cluster,
) {
    private var blocks: List<LearnedState> = emptyList()
    private var next = 0
    private var lastWriteMs = Machine.NEVER

    /** Returns the write that is due now, or null if none is, and advances to the next block. */
    fun due(nowMs: Long): Write.SaveLearnedState? {
        if (nowMs - lastWriteMs < intervalMs()) return null
        lastWriteMs = nowMs
        if (next >= blocks.size) {
            blocks = pack(current(), (cluster.limits.valueKb * MACHINE_BYTES_PER_KIB).toInt())
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

    /** Division of learned estimates into blocks. */
    companion object {
        /** Bytes used for machines per KiB of a value's maximum size. */
        private const val MACHINE_BYTES_PER_KIB = 850

        /** Bytes of quotes, comma and brackets around a name. */
        private const val NAME_OVERHEAD_BYTES = 4

        /** Bytes of an image's size, including the overhead of the image's name as its key. */
        private const val IMAGE_SIZE_BYTES = 12

        /** Divides [learnedState] into blocks with at most [maxBytes] for machines each. The first block also holds everything unrelated to machines. */
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

        /** Bytes that [machine] adds to a block which already contains the sizes of the images [alreadyIn]. */
        private fun sizeOf(
            machine: String,
            images: List<String>,
            alreadyIn: Set<String>,
        ): Int =
            machine.length + NAME_OVERHEAD_BYTES + images.sumOf { it.length + NAME_OVERHEAD_BYTES + if (it in alreadyIn) 0 else it.length + IMAGE_SIZE_BYTES }

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
