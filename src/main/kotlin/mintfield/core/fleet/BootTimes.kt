package mintfield.core.fleet

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.model.MachineType

/**
 * Recent boot times of machines by type and zone, and the age from which a booting machine is overdue. An overdue machine may still come
 * up, so it is not released, but replacement capacity is provisioned. When the cloud is slow, many boots take long at once; the limit
 * therefore rises with the longest recent boot.
 */
class BootTimes {
    private data class TypeInZone(
        val type: String,
        val zone: String,
    )

    /** A boot, completed at [atMs], that took [factor] times the usual boot time of the machine type. */
    private class Boot(
        val factor: Double,
        val atMs: Long,
    )

    private val boots = HashMap<TypeInZone, ArrayDeque<Boot>>()

    /** Records that [machine] sent its first heartbeat [bootMs] milliseconds after it was provisioned. */
    fun recordBoot(
        machine: Machine,
        bootMs: Long,
        nowMs: Long,
    ) {
        val recent = boots.getOrPut(TypeInZone(machine.type.name, machine.zone)) { ArrayDeque() }
        recent.addLast(Boot(bootMs / (machine.type.bootS * TimeUnits.MS_PER_SECOND), nowMs))
        if (recent.size > MAX_BOOTS) recent.removeFirst()
    }

    /** Milliseconds after its provisioning from which a machine of [type] in [zone] is overdue if it has sent no heartbeat. */
    fun overdueAfterMs(
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Long {
        val recent = boots[TypeInZone(type.name, zone)]?.filter { nowMs - it.atMs < FleetConstants.BOOT_TIMES_KEPT_MS }
        val longest = recent?.maxOfOrNull { it.factor } ?: 0.0
        val factor = maxOf(FleetConstants.OVERDUE_BOOT_FACTOR, longest * LONGEST_BOOT_FACTOR).coerceAtMost(FleetConstants.BOOT_TIMEOUT_FACTOR)
        return (type.bootS * TimeUnits.MS_PER_SECOND * factor).toLong() + FleetConstants.OVERDUE_BOOT_SLACK_MS
    }

    private companion object {
        /** Number of boots kept for each type and zone. */
        const val MAX_BOOTS = 32

        /** Multiple of the longest recent boot time within which another boot must complete. */
        const val LONGEST_BOOT_FACTOR = 1.2
    }
}
