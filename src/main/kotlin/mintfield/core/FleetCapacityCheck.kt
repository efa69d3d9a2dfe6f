package mintfield.core

import mintfield.core.constants.MemoryConstants
import mintfield.core.model.Settings

/**
 * Checks whether a controller's sockets and memory suffice for the fleet that its operators expect. It is made at the start, when the
 * settings can still be changed, and each finding names its remedy or its consequence.
 */
class FleetCapacityCheck(
    private val settings: Settings,
) {
    private val limits = ConnectionLimits(settings)

    /** One line for each resource that is short, with a heap of [heapBytes]; none if the settings do not tell the size of the fleet. */
    fun shortcomings(heapBytes: Long): List<String> {
        val machines = settings.operator.fleetMachines ?: return emptyList()
        return listOfNotNull(sockets(machines), memory(machines, heapBytes))
    }

    private fun sockets(machines: Int): String? {
        val kept = limits.machinesKept(otherConnections = 0)
        if (machines <= kept) return null
        return "max_sockets ${settings.maxSockets} lets $kept workers keep their connections of $machines: the others connect anew for each heartbeat"
    }

    private fun memory(
        machines: Int,
        heapBytes: Long,
    ): String? {
        val needed = MemoryConstants.HEAP_BASE_BYTES + machines * MemoryConstants.HEAP_BYTES_PER_MACHINE
        if (heapBytes >= needed) return null
        return "the heap of ${heapBytes / MIB} MB is small for $machines machines: run with -Xmx${needed / MIB + 1}m"
    }

    private companion object {
        const val MIB = 1024L * 1024L
    }
}
