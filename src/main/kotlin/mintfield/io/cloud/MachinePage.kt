package mintfield.io.cloud

import mintfield.core.fleet.ListedMachine

/** One page of the cloud's list of machines, in the order of their names. */
data class MachinePage(
    val machines: List<ListedMachine>,
    /** Whether further machines follow the last one. */
    val hasNext: Boolean,
)
