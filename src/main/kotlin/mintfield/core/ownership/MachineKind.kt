package mintfield.core.ownership

import mintfield.core.fleet.Machine

/** The properties of a machine that decide whether a job may run there at all. */
data class MachineKind(
    /** The name of its machine type. */
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The kind of this machine. */
val Machine.kind: MachineKind get() = MachineKind(type.name, zone, spot)
