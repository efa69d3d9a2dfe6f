package mintfield.core.fleet

/** A machine as an entry of the cloud's list describes it. */
data class ListedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    /** The cloud's own word for where the machine stands. */
    val stage: String,
    /** Seconds since it was provisioned. */
    val heldS: Double,
) {
    /** Whether the machine has broken down by itself. */
    val hasFailed: Boolean get() = stage == "failed"

    /** Whether the machine still boots. */
    val isBooting: Boolean get() = stage == "starting"
}
