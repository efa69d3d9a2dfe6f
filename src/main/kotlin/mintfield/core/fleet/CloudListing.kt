package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.TimeUnits

/** Reads the cloud's list of machines page by page, and releases unresponsive machines that a complete read no longer contains. */
class CloudListing(
    private val cluster: Cluster,
    private val registry: MachineRegistry,
    private val releases: MachineReleases,
    private val released: ReleasedMachines,
) {
    /** Name of the machine after which the next page starts; null at the start of the list. */
    private var nextPageAfter: String? = null

    /** Whether the current read has further pages. */
    private var isReadInProgress = false

    /** Monotonic time in milliseconds at which the first page of the current read was received. */
    private var startedAtMs = Machine.NEVER
    private var completedAtMs = Machine.NEVER

    /** Whether the list has been read to its end at least once. */
    var hasCompleted = false
        private set

    /** Machines that the cloud lists and that have no owner, with the monotonic time in milliseconds at which each was first seen without one. */
    val unowned = LinkedHashMap<String, Long>()

    /** The cloud call that reads the next page of the list. */
    fun nextPage(): CloudCall = CloudCall.ListPage(nextPageAfter)

    /** Whether a page should be read at [nowMs]: a read is in progress, or the interval since the last complete one has passed. */
    fun isDue(nowMs: Long): Boolean = isReadInProgress || nowMs - completedAtMs >= FleetConstants.LIST_INTERVAL_MS

    /** Longest time in milliseconds until a machine that exists appears in a read of the list. */
    fun maxLagMs(): Long = (cluster.settings.listLagS * TimeUnits.MS_PER_SECOND * FleetConstants.LIST_LAG_FACTOR).toLong() + FleetConstants.LIST_INTERVAL_MS

    /** Processes [page] of the list; [hasNext] is false for the last page, which completes the read. */
    fun pageRead(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) {
        for (entry in page) processEntry(entry, nowMs)
        if (nextPageAfter == null) startedAtMs = nowMs
        isReadInProgress = hasNext
        nextPageAfter = if (hasNext) page.lastOrNull()?.id else null
        if (!hasNext) {
            releaseUnlisted(nowMs)
            completedAtMs = nowMs
            hasCompleted = true
        }
    }

    private fun processEntry(
        entry: ListedMachine,
        nowMs: Long,
    ) {
        if (!cluster.ownership.owns(entry.id)) {
            if (cluster.ownership.isUnowned(entry.id) && entry.id !in released) unowned.putIfAbsent(entry.id, nowMs)
            return
        }
        unowned.remove(entry.id)
        val known = entry.id in cluster.machines
        val machine = registry.getOrAdd(entry.id, entry.type, entry.zone, entry.spot, nowMs) ?: return
        if (entry.hasFailed && entry.id !in released) return releases.schedule(machine, nowMs, "the cloud lists it as failed")
        machine.origin.recordListed(nowMs)
        val described = if (machine.provisional) registry.redescribe(machine, entry.type, entry.zone, entry.spot, nowMs) ?: machine else machine
        if (entry.isBooting) processBootingEntry(entry, described, known, nowMs)
    }

    /**
     * Takes the age of a booting machine from the list; such a machine is not in use. The age of a running machine is not taken over: after a
     * failover none has sent the new leader a heartbeat yet, and judged by its age the whole fleet would exceed the boot timeout and be released.
     */
    private fun processBootingEntry(
        entry: ListedMachine,
        machine: Machine,
        known: Boolean,
        nowMs: Long,
    ) {
        machine.origin.clearAdoption()
        if (!known) machine.origin.setFirstSeen(nowMs - (entry.ageS * TimeUnits.MS_PER_SECOND).toLong().coerceAtMost(MAX_AGE_MS))
    }

    /**
     * Releases unresponsive machines that are no longer listed although every read should contain them by now: the cloud has reclaimed them.
     * The confirmed release proves that their tasks have ended, and their capacity can be provisioned again.
     */
    private fun releaseUnlisted(nowMs: Long) {
        val maxLagMs = maxLagMs()
        for (machine in cluster.machines.values.toList()) {
            if (machine.state != MachineState.UNRESPONSIVE || !isMissing(machine.origin)) continue
            if (nowMs - machine.origin.firstListedAtMs > maxLagMs) releases.schedule(machine, nowMs, "unresponsive and no longer listed")
        }
    }

    /** Whether an earlier read contained the machine and the current one does not. */
    private fun isMissing(origin: MachineOrigin) = origin.firstListedAtMs != Machine.NEVER && origin.listedAtMs < startedAtMs

    private companion object {
        /** Upper bound of the age taken over from the list for a booting machine. */
        const val MAX_AGE_MS = 3_600_000L
    }
}
