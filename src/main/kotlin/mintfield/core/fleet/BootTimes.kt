package mintfield.core.fleet

import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType

/**
 * How long machines took to come up lately, by type and zone. One that takes longer is late: it may still come, so it is not
 * returned, but what was hoped of it is provisioned elsewhere. Many late at once speak of the cloud, and move what counts as late.
 */
class BootTimes {
    private class Seen(
        val times: Double,
        val atMs: Long,
    )

    private val seen = HashMap<Pair<String, String>, ArrayDeque<Seen>>()

    /** A machine reports for the first time, [tookMs] after it was provisioned. */
    fun cameUp(
        m: Machine,
        tookMs: Long,
        nowMs: Long,
    ) {
        val list = seen.getOrPut(m.type.name to m.zone) { ArrayDeque() }
        list.addLast(Seen(tookMs / (m.type.bootS * MS), nowMs))
        if (list.size > MOST) list.removeFirst()
    }

    /** Milliseconds from its scale-out request after which a machine of [type] in [zone] is late. */
    fun overdueAfterMs(
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Long {
        val lately = seen[type.name to zone]?.filter { nowMs - it.atMs < FleetConstants.BOOT_TIMES_KEPT_MS }?.maxOfOrNull { it.times } ?: 0.0
        return (type.bootS * MS * maxOf(FleetConstants.OVERDUE_BOOT_FACTOR, lately * SLACK).coerceAtMost(FleetConstants.BOOT_TIMEOUT_FACTOR)).toLong() +
            FleetConstants.OVERDUE_BOOT_SLACK_MS
    }

    private companion object {
        const val MS = 1000.0

        /** Boots remembered of one type and zone. */
        const val MOST = 32

        /** Times the longest boot seen lately that another may take. */
        const val SLACK = 1.2
    }
}
