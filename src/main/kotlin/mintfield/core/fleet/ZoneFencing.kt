package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants

/**
 * A leader's word, kept in the store: it has not answered [machines] since [sinceWallMs] (time of day), and will not
 * while this stands. Recorded as the output of a step, so that a successor, which has heard none of them, has proof that
 * their leases have ended.
 */
class ZoneFence(
    val key: String,
    val machines: List<String>,
    val sinceWallMs: Long,
)

/**
 * When most of a zone falls silent its machines are fenced. Without that, a leader lost before their leases ended took all
 * knowledge of when they end with it: replicas that had died in a zone cut off stayed planned there until it came back.
 *
 * Nobody may answer a fenced machine before its record is deleted: neither the leader that wrote it nor any successor, which
 * therefore reads the records before it answers anybody. A machine that turns up has its record deleted first; that takes as
 * long as a transaction, for which its heartbeat waits.
 */
class ZoneFencing(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Machines not to be answered, and the record that names each. */
    private val fenceByMachine = HashMap<String, String>()

    /** Records of earlier leaders that have not served as proof yet. */
    private val inherited = LinkedHashMap<String, ZoneFence>()
    private val toWrite = LinkedHashMap<String, ZoneFence>()
    private val toDelete = LinkedHashSet<String>()
    private var lastLookMs = Machine.NEVER
    private var number = 0

    /** Whether the records of earlier leaders have been read; nobody is answered before. */
    var read = false

    /** What is to be deleted is not written any more: one transaction must not name a key twice. */
    val fencesToWrite: Collection<ZoneFence> get() = toWrite.values.filter { it.key !in toDelete }
    val fencesToLift: Collection<String> get() = toDelete

    fun replay(record: ZoneFence) {
        inherited[record.key] = record
        record.machines.forEach { fenceByMachine[it] = record.key }
    }

    /** A record that cannot be read proves nothing and goes. */
    fun replayUnreadable(key: String) {
        toDelete.add(key)
    }

    /** Whether a heartbeat of [machine] may be answered now; if not because it is fenced, that is about to end. */
    fun mayAnswer(machine: String): Boolean {
        if (!read) return false
        toDelete.add(fenceByMachine[machine] ?: return true)
        return false
    }

    /** Looks at the clock: zones that fell silent, leases that have ended by an earlier leader's word, records of no more use. */
    fun look(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (nowMs - lastLookMs < FleetConstants.ZONE_FENCE_CHECK_MS) return
        lastLookMs = nowMs
        val zones =
            cluster.machines.values
                .filter { hasLeaseFromThisLeader(it) }
                .groupBy { it.zone }
        val unresponsiveZones = zones.filterValues { mostlyUnresponsive(it) }
        // If no zone is heard, it is this leader that is cut off from its workers. They are about to come back by way of the
        // peers, and a third of their lease is gone by then: nothing must be in their way.
        if (unresponsiveZones.size < zones.size) {
            for ((zone, machines) in unresponsiveZones) {
                val silent = machines.filter { it.state == MachineState.UNRESPONSIVE }
                fence(zone, silent.filter { it.attempts.isNotEmpty() && it.id !in fenceByMachine }, nowMs, wallMs)
            }
        }
        for (record in inherited.values.toList()) {
            if (wallMs - record.sinceWallMs > cluster.timings.leaseExpiryMs + FleetConstants.WALL_CLOCK_MARGIN_MS) prove(record, nowMs)
        }
        val gone =
            fenceByMachine.entries
                .filter { it.key !in cluster.machines }
                .map { it.value }
                .toSet()
        for (key in gone) if (fenceByMachine.none { it.value == key && it.key in cluster.machines }) toDelete.add(key)
    }

    private fun mostlyUnresponsive(machines: List<Machine>): Boolean {
        val silent = machines.count { it.state == MachineState.UNRESPONSIVE }
        return silent >= FleetConstants.MIN_FENCED_MACHINES && silent > machines.size * FleetConstants.UNRESPONSIVE_ZONE_FRACTION
    }

    private fun hasLeaseFromThisLeader(m: Machine) =
        m.state != MachineState.OWNED_ELSEWHERE && cluster.hasSeenOurToken(m) && m.leaseRenewedAtMs != Machine.NEVER

    /** Whether the machine [id] is not answered by this leader's or an earlier one's word. */
    fun isFenced(id: String) = id in fenceByMachine

    private fun fence(
        zone: String,
        silent: List<Machine>,
        nowMs: Long,
        wallMs: Long,
    ) {
        if (silent.isEmpty()) return
        val most = (cluster.limits.valueKb * VALUE_BYTES_USED).toInt() / (silent.maxOf { it.id.length } + ID_FRAME)
        for (some in silent.chunked(maxOf(1, most))) {
            val since = wallMs - (nowMs - some.maxOf { it.leaseRenewedAtMs })
            val record = ZoneFence("${cluster.firstTerm}-${++number}", some.map { it.id }, since)
            toWrite[record.key] = record
            record.machines.forEach { fenceByMachine[it] = record.key }
            log("$zone: zone unresponsive, ${some.size} of its machines are fenced: their leases are not renewed until the fence is lifted")
        }
    }

    private fun prove(
        record: ZoneFence,
        nowMs: Long,
    ) {
        inherited.remove(record.key)
        for (id in record.machines) {
            // Deleted meanwhile, or named anew: then it may have been answered.
            if (fenceByMachine[id] != record.key) continue
            val m = cluster.machines[id] ?: continue
            m.attempts.toList().forEach { cluster.release(it, nowMs, "lease expired, as the zone fence of an earlier leader proves") }
        }
    }

    fun written(record: ZoneFence) {
        toWrite.remove(record.key)
    }

    fun deleted(key: String) {
        toDelete.remove(key)
        toWrite.remove(key)
        inherited.remove(key)
        fenceByMachine.values.removeAll { it == key }
    }

    private companion object {
        /** Bytes of a value of one KiB that names may take. */
        const val VALUE_BYTES_USED = 900

        /** Quotes and comma of one name. */
        const val ID_FRAME = 3
    }
}
