package mintfield.core

/**
 * Estimates that a leader passes to its successors through the store. They are advisory: correctness does not depend on them, so they
 * may be old, incomplete or missing.
 */
data class LearnedState(
    /** The sizes of the images in [machineImages], in GB. */
    val imageGb: Map<String, Double>,
    /** The images that each machine caches. */
    val machineImages: Map<String, List<String>>,
    /** Logarithm of the ratio of run times to their estimates, by job class. */
    val logRatio: Map<String, Double>,
    /** Jobs that fail on every machine, with the number of probes since each was found to do so. */
    val suspectJobs: Map<String, Int> = emptyMap(),
)
