package mintfield.history

/** An anomaly, the operation that shows it, and the operation whose response it contradicts, or null if there is none. */
data class Violation(
    val anomaly: Anomaly,
    val shownBy: Operation,
    val contradicts: Operation?,
)
