package mintfield.core.fleet

import mintfield.core.model.MachineType

/** Model of the container images on one machine, cached or being fetched, with the worker's least-recently-used eviction. */
class ImageCache(
    private val type: MachineType,
) {
    /** Sizes in GB of the images on the machine; iterated from the least to the most recently used. */
    private val sizes = LinkedHashMap<String, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var totalGb = 0.0

    /** Number of tasks here that need each image. Updated incrementally because each scheduling round reads it. */
    private val tasksByImage = HashMap<String, Int>()

    /** Sizes in GB of the images that are being fetched for tasks here. */
    private val fetching = HashMap<String, Double>()

    /** Sizes in GB of the images on the machine, the least recently used first. */
    val cached: Map<String, Double> get() = sizes

    /** Whether [image] is on the machine. */
    fun has(image: String): Boolean = sizes.containsKey(image)

    /** Whether a task that needs [image] is planned or runs here, so that the image is on the machine or being fetched. */
    fun isNeeded(image: String): Boolean = tasksByImage.containsKey(image)

    /** Adds a planned task that needs [image], of [gb] GB. */
    fun addTask(
        image: String,
        gb: Double,
    ) {
        tasksByImage.merge(image, 1, Int::plus)
        if (!has(image)) fetching[image] = gb
    }

    /** Removes a task that needed [image]. */
    fun removeTask(image: String) {
        // The task used the image until now; the map lookup makes it the most recently used.
        sizes[image]
        tasksByImage.computeIfPresent(image) { _, tasks -> if (tasks > 1) tasks - 1 else null }
        if (!isNeeded(image)) fetching.remove(image)
    }

    /** Records that [image], of [gb] GB, is on the machine, and evicts the least recently used images as the worker would. */
    fun markPresent(
        image: String,
        gb: Double,
    ) {
        if (sizes[image] != null) return
        sizes[image] = gb
        fetching.remove(image)
        totalGb += gb
        val oldest = sizes.entries.iterator()
        while (totalGb > type.cacheGb && oldest.hasNext()) {
            val entry = oldest.next()
            // An image that a task here needs is in use, regardless of when a heartbeat last listed it.
            if (entry.key == image || isNeeded(entry.key)) continue
            totalGb -= entry.value
            oldest.remove()
        }
    }

    /** Estimated seconds until [image], of [gb] GB, is on the machine, if all fetches share its bandwidth. */
    fun fetchS(
        image: String,
        gb: Double,
    ): Double {
        if (has(image)) return 0.0
        val gbAhead = fetching.values.sum() + if (image in fetching) 0.0 else gb
        return gbAhead / maxOf(type.fetchGbPerS, MIN_FETCH_GB_PER_S)
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f

        /** Lower bound that keeps the estimate finite for a machine type without a stated fetch rate. */
        const val MIN_FETCH_GB_PER_S = 1e-6
    }
}
