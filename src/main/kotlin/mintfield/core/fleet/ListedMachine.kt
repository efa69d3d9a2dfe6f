package mintfield.core.fleet

/** An entry of the cloud's list of machines. */
data class ListedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: MachineStage,
    /** Seconds since it was provisioned. */
    val ageS: Double,
) {
    /** Whether the machine has failed without being released. */
    val hasFailed: Boolean get() = stage == MachineStage.FAILED

    /** Whether the machine is still booting. */
    val isBooting: Boolean get() = stage == MachineStage.BOOTING
}
