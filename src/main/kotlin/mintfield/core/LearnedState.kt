package mintfield.core

/**
 * What a leader has learned and a successor would otherwise learn anew: which images the machines hold, how wrong
 * the classes' estimates are, and which jobs fail everywhere. Nothing that the rules depend on rests on it, so it may be old, cut short or missing.
 */
data class LearnedState(
    val imageGb: Map<String, Double>,
    val machineImages: Map<String, List<String>>,
    val logRatio: Map<String, Double>,
    /** Jobs that fail everywhere, and how often each was tried since that was known. */
    val suspectJobs: Map<String, Int> = emptyMap(),
)
