package mintfield.core.fleet

import mintfield.core.model.MachineType

/** The container images on one machine, those that its tasks wait for, and a model of the worker's least-recently-used eviction. */
class ImageCache(
    private val type: MachineType,
) {
    /** Sizes in GB by image; iterated in order of last use. */
    private val sizes = LinkedHashMap<String, Double>(INITIAL_CAPACITY, LOAD_FACTOR, true)
    private var totalGb = 0.0

    /** Number of tasks here by the image that they need. Kept up to date as each scheduling round asks for it. */
    private val tasksByImage = HashMap<String, Int>()

    /** Sizes in GB of images that tasks here wait for. */
    private val fetching = HashMap<String, Double>()

    /** Images on the machine with their sizes in GB, the least recently used first. */
    val cached: Map<String, Double> get() = sizes

    /** Whether [image] is on the machine. */
    fun has(image: String): Boolean = sizes.containsKey(image)

    /** Whether a task that needs [image] is planned or runs here, so that the image is there or under way. */
    fun isAwaited(image: String): Boolean = tasksByImage.containsKey(image)

    /** A task that needs [image], of [gb] GB, has been planned here. */
    fun addTask(
        image: String,
        gb: Double,
    ) {
        tasksByImage.merge(image, 1, Int::plus)
        if (!has(image)) fetching[image] = gb
    }

    /** A task that needed [image] is gone. */
    fun removeTask(image: String) {
        // The task used it until now: reading it makes it the most recently used.
        sizes[image]
        tasksByImage.computeIfPresent(image) { _, tasks -> if (tasks > 1) tasks - 1 else null }
        if (!isAwaited(image)) fetching.remove(image)
    }

    /** Notes that [image], of [gb] GB, is on the machine, and drops the least recently used images as the worker would. */
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
            // An image that a task here needs is in use, however long ago the last heartbeat about it came.
            if (entry.key == image || isAwaited(entry.key)) continue
            totalGb -= entry.value
            oldest.remove()
        }
    }

    /** Seconds until [image], of [gb] GB, is on the machine, if all its fetches share its rate. */
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

        /** Keeps the quotient finite for a type without a stated rate. */
        const val MIN_FETCH_GB_PER_S = 1e-6
    }
}
