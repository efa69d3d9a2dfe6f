package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.TimeUnits

/** Reads the cloud's list of machines page by page, and compares each full read with the machines that are known. */
class CloudListing(
    private val cluster: Cluster,
    private val registry: MachineRegistry,
    private val releases: MachineReleases,
    private val released: ReleasedMachines,
) {
    /** Name after which the next page starts; null at the start of the list. */
    private var after: String? = null

    /** Whether a read has begun and further pages follow. */
    private var underWay = false

    /** When the first page of the current read came. */
    private var startedAtMs = Machine.NEVER
    private var completedAtMs = Machine.NEVER

    /** Whether the list has been read to its end at least once. */
    var hasCompleted = false
        private set

    /** Machines that the cloud lists and that have no owner, with the steady milliseconds at which each was first seen so. */
    val ownerless = LinkedHashMap<String, Long>()

    /** The call for the next page. */
    fun nextPage(): CloudCall = CloudCall.ListPage(after)

    /** Whether a page is to be read now. */
    fun isDue(nowMs: Long): Boolean = underWay || nowMs - completedAtMs >= FleetConstants.LIST_INTERVAL_MS

    /** Milliseconds after which a list must show what there is, at the latest. */
    fun lagMs(): Long = (cluster.settings.listLagS * TimeUnits.MS_PER_SECOND * FleetConstants.LIST_LAG_FACTOR).toLong() + FleetConstants.LIST_INTERVAL_MS

    /** Takes in [page]; [hasNext] says whether others follow it. */
    fun pageRead(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) {
        for (entry in page) takeIn(entry, nowMs)
        if (after == null) startedAtMs = nowMs
        underWay = hasNext
        after = if (hasNext) page.lastOrNull()?.id else null
        if (!hasNext) {
            releaseUnlisted(nowMs)
            completedAtMs = nowMs
            hasCompleted = true
        }
    }

    private fun takeIn(
        entry: ListedMachine,
        nowMs: Long,
    ) {
        if (!cluster.ownership.owns(entry.id)) {
            if (cluster.ownership.isUnowned(entry.id) && entry.id !in released) ownerless.putIfAbsent(entry.id, nowMs)
            return
        }
        ownerless.remove(entry.id)
        val known = entry.id in cluster.machines
        val machine = registry.machine(entry.id, entry.type, entry.zone, entry.spot, nowMs) ?: return
        if (entry.hasFailed && entry.id !in released) return releases.schedule(machine, nowMs, "it failed by itself")
        machine.origin.listed(nowMs)
        val described = if (machine.provisional) registry.redescribe(machine, entry.type, entry.zone, entry.spot, nowMs) ?: machine else machine
        if (entry.isBooting) takeInBooting(entry, described, known, nowMs)
    }

    /**
     * A machine that boots is as old as it is listed, and not in use. One that is up has merely not sent this leader a heartbeat yet:
     * judged by its age, the whole fleet would be released after a failover.
     */
    private fun takeInBooting(
        entry: ListedMachine,
        machine: Machine,
        known: Boolean,
        nowMs: Long,
    ) {
        machine.origin.clearAdoption()
        if (!known) machine.origin.seenSince(nowMs - (entry.heldS * TimeUnits.MS_PER_SECOND).toLong().coerceAtMost(MAX_HELD_MS))
    }

    /**
     * Releases machines that are unresponsive, were listed for long enough for every list to have them, and are not any more: the cloud
     * has reclaimed them. The release proves that, and there may be capacity for others in their place.
     */
    private fun releaseUnlisted(nowMs: Long) {
        val lagMs = lagMs()
        for (machine in cluster.machines.values.toList()) {
            if (machine.state != MachineState.UNRESPONSIVE || !isMissing(machine.origin)) continue
            if (nowMs - machine.origin.firstListedAtMs > lagMs) releases.schedule(machine, nowMs, "unresponsive and not listed any more")
        }
    }

    /** Whether an earlier read had the machine and the current one does not. */
    private fun isMissing(origin: MachineOrigin) = origin.firstListedAtMs != Machine.NEVER && origin.listedAtMs < startedAtMs

    private companion object {
        /** Bounds the age of a machine that has just been listed as booting. */
        const val MAX_HELD_MS = 3_600_000L
    }
}
