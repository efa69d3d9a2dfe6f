package mintfield.history

/** An anomaly, and the machine that shows it at a moment. */
data class OwnershipViolation(
    val anomaly: OwnershipAnomaly,
    val machine: String,
    val atNanos: Long,
    val what: String,
)
