package mintfield.core.fleet

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.model.MachineType

/**
 * How long machines of each type and zone took to boot lately, and from when on one is overdue. An overdue machine may still come, so it
 * is not released, but its capacity is provisioned elsewhere. When many boots take long at once, the cloud is slow, and the limit rises.
 */
class BootTimes {
    private data class Origin(
        val type: String,
        val zone: String,
    )

    /** One boot that took [factor] times the usual boot time of its type. */
    private class Boot(
        val factor: Double,
        val atMs: Long,
    )

    private val boots = HashMap<Origin, ArrayDeque<Boot>>()

    /** [machine] sends its first heartbeat [tookMs] milliseconds after it was provisioned. */
    fun cameUp(
        machine: Machine,
        tookMs: Long,
        nowMs: Long,
    ) {
        val recent = boots.getOrPut(Origin(machine.type.name, machine.zone)) { ArrayDeque() }
        recent.addLast(Boot(tookMs / (machine.type.bootS * TimeUnits.MS_PER_SECOND), nowMs))
        if (recent.size > MAX_BOOTS) recent.removeFirst()
    }

    /** Milliseconds from its scale-out request after which a machine of [type] in [zone] is overdue. */
    fun overdueAfterMs(
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Long {
        val recent = boots[Origin(type.name, zone)]?.filter { nowMs - it.atMs < FleetConstants.BOOT_TIMES_KEPT_MS }
        val longest = recent?.maxOfOrNull { it.factor } ?: 0.0
        val factor = maxOf(FleetConstants.OVERDUE_BOOT_FACTOR, longest * LONGEST_BOOT_FACTOR).coerceAtMost(FleetConstants.BOOT_TIMEOUT_FACTOR)
        return (type.bootS * TimeUnits.MS_PER_SECOND * factor).toLong() + FleetConstants.OVERDUE_BOOT_SLACK_MS
    }

    private companion object {
        /** Boots remembered of one type and zone. */
        const val MAX_BOOTS = 32

        /** Times the longest recent boot that another may take. */
        const val LONGEST_BOOT_FACTOR = 1.2
    }
}
