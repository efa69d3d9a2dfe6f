package mintfield.core.fleet

/** A machine as an entry of the cloud's list describes it. */
data class ListedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: MachineStage,
    /** Seconds since it was provisioned. */
    val heldS: Double,
) {
    /** Whether the machine has broken down by itself. */
    val hasFailed: Boolean get() = stage == MachineStage.FAILED

    /** Whether the machine still boots. */
    val isBooting: Boolean get() = stage == MachineStage.BOOTING
}
