package mintfield.core

import mintfield.core.constants.MemoryConstants
import mintfield.core.model.Settings

/**
 * Checks whether a controller's sockets and memory suffice for the fleet size that its operators expect. It runs at startup, when the
 * settings can still be changed. Each message names the remedy or the consequence.
 */
class FleetCapacityCheck(
    private val settings: Settings,
) {
    private val limits = ConnectionLimits(settings)

    /** Returns a message for each insufficient resource, given a heap of [heapBytes]. Empty if the settings do not state the fleet size. */
    fun shortages(heapBytes: Long): List<String> {
        val machines = settings.operator.fleetMachines ?: return emptyList()
        return listOfNotNull(sockets(machines), memory(machines, heapBytes))
    }

    private fun sockets(machines: Int): String? {
        val kept = limits.maxKeepAliveMachines(otherConnections = 0)
        if (machines <= kept) return null
        return "max_sockets ${settings.maxSockets} allows persistent connections for $kept of $machines workers: the others reconnect for each heartbeat"
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
