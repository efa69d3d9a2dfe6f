package mintfield.core.fleet

/** The stage of a machine in the cloud's list. */
enum class MachineStage {
    /** Provisioned, but not up yet. */
    BOOTING,

    /** Up. */
    RUNNING,

    /** It stopped by itself, and stays listed until it is released. */
    FAILED,

    /** A stage that this program does not know. */
    UNKNOWN,
}
