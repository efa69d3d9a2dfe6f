package mintfield.core

/**
 * What a leader has learned and a successor would otherwise have to learn again. It is advisory: no rule depends on it, so it may be
 * old, incomplete or missing.
 */
data class LearnedState(
    /** The sizes of the images in [machineImages], in GB. */
    val imageGb: Map<String, Double>,
    /** The images that each machine caches. */
    val machineImages: Map<String, List<String>>,
    /** By job class: the logarithm of the ratio of run times to their estimates. */
    val logRatio: Map<String, Double>,
    /** Jobs that fail on every machine, and how often each was probed since that became known. */
    val suspectJobs: Map<String, Int> = emptyMap(),
)
