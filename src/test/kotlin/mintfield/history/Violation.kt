package mintfield.history

/** An anomaly, the response that shows it, and the one that it contradicts, if there is one. */
data class Violation(
    val anomaly: Anomaly,
    val shownBy: Operation,
    val contradicts: Operation?,
)
