package mintfield.history

/** An anomaly in the history of [machine], found at the steady time [atNanos]. */
data class OwnershipViolation(
    val anomaly: OwnershipAnomaly,
    val machine: String,
    val atNanos: Long,
    val detail: String,
)
