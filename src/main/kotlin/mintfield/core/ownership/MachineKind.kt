package mintfield.core.ownership

import mintfield.core.fleet.Machine

/** The properties of a machine that determine whether a job may run on it, regardless of free capacity. */
data class MachineKind(
    /** The name of its machine type. */
    val type: String,
    val zone: String,
    val spot: Boolean,
)

/** The kind of this machine. */
val Machine.kind: MachineKind get() = MachineKind(type.name, zone, spot)
