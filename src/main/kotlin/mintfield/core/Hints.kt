package mintfield.core

/**
 * What a leader has learned and a successor would otherwise learn anew: which images the machines hold, and how wrong
 * the classes' estimates are. Nothing that the rules depend on rests on it, so it may be old, cut short or missing.
 */
data class Hints(
    val imageGb: Map<String, Double>,
    val machineImages: Map<String, List<String>>,
    val logRatio: Map<String, Double>,
)
