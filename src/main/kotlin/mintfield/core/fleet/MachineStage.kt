package mintfield.core.fleet

/** Life-cycle stage of a machine according to the cloud's list. */
enum class MachineStage {
    /** Provisioned and still booting. */
    BOOTING,

    /** Booted and running. */
    RUNNING,

    /** Stopped without being released; it stays listed until it is released. */
    FAILED,

    /** A stage that this version does not recognize. */
    UNKNOWN,
}
