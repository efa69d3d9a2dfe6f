package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants

/**
 * Fences the machines of a zone most of which are silent, as after a partition. Otherwise a leader that is lost before their leases have
 * expired takes with it all knowledge of when they expire, and what is planned on them stays so until the zone is back.
 *
 * Nobody may answer a fenced machine before its record is deleted: neither the leader that wrote the record nor a successor, which
 * therefore reads all records before it answers any machine. When a fenced machine sends a heartbeat, its record is deleted first; the
 * heartbeat waits for that transaction.
 */
class ZoneFencing(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Machines that must not be answered, with the key of the record that names each. */
    private val fenceByMachine = HashMap<String, String>()

    /** Records of earlier leaders that have not served as proof yet. */
    private val inherited = LinkedHashMap<String, ZoneFence>()
    private val toWrite = LinkedHashMap<String, ZoneFence>()
    private val toDelete = LinkedHashSet<String>()
    private var lastCheckMs = Machine.NEVER
    private var lastNumber = 0

    /** Whether the records of earlier leaders have been read; no machine is answered before. */
    var read = false

    /** Records to be written. One transaction must not name a key twice, so what is to be deleted is not among them. */
    val fencesToWrite: Collection<ZoneFence> get() = toWrite.values.filter { it.key !in toDelete }

    /** Keys of records to be deleted. */
    val fencesToLift: Collection<String> get() = toDelete

    /** Takes in [record], which an earlier leader has written. */
    fun replay(record: ZoneFence) {
        inherited[record.key] = record
        record.machines.forEach { fenceByMachine[it] = record.key }
    }

    /** The record under [key] cannot be read: it proves nothing and is deleted. */
    fun replayUnreadable(key: String) {
        toDelete.add(key)
    }

    /** Whether a heartbeat of [machine] may be answered now. If it may not because the machine is fenced, the fence will be lifted. */
    fun mayAnswer(machine: String): Boolean {
        if (!read) return false
        val key = fenceByMachine[machine] ?: return true
        toDelete.add(key)
        return false
    }

    /** Whether a fence of this leader or an earlier one names the machine [id]. */
    fun isFenced(id: String): Boolean = id in fenceByMachine

    /** Fences zones that have become silent, applies inherited records as proof, and deletes records that are of no more use. */
    fun look(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (nowMs - lastCheckMs < FleetConstants.ZONE_FENCE_CHECK_MS) return
        lastCheckMs = nowMs
        fenceUnresponsiveZones(nowMs, wallMs)
        for (record in inherited.values.toList()) {
            if (wallMs - record.sinceWallMs > cluster.timings.leaseExpiryMs + FleetConstants.WALL_CLOCK_MARGIN_MS) releaseAttempts(record, nowMs)
        }
        liftFencesOfGoneMachines()
    }

    /**
     * If no zone responds, this leader is cut off from its workers. They are about to be heard by way of the peers, and a third of their
     * lease is over by then: no fence must delay their answers.
     */
    private fun fenceUnresponsiveZones(
        nowMs: Long,
        wallMs: Long,
    ) {
        val zones =
            cluster.machines.values
                .filter { hasLeaseFromThisLeader(it) }
                .groupBy { it.zone }
        val unresponsiveZones = zones.filterValues { isMostlyUnresponsive(it) }
        if (unresponsiveZones.size == zones.size) return
        for ((zone, machines) in unresponsiveZones) {
            val toFence = machines.filter { it.state == MachineState.UNRESPONSIVE && it.attempts.isNotEmpty() && it.id !in fenceByMachine }
            if (toFence.isNotEmpty()) fence(zone, toFence, nowMs, wallMs)
        }
    }

    private fun isMostlyUnresponsive(machines: List<Machine>): Boolean {
        val unresponsive = machines.count { it.state == MachineState.UNRESPONSIVE }
        return unresponsive >= FleetConstants.MIN_FENCED_MACHINES && unresponsive > machines.size * FleetConstants.UNRESPONSIVE_ZONE_FRACTION
    }

    private fun hasLeaseFromThisLeader(machine: Machine) =
        machine.state != MachineState.OWNED_ELSEWHERE && cluster.hasSeenOurToken(machine) && machine.lease.isKnown

    private fun fence(
        zone: String,
        machines: List<Machine>,
        nowMs: Long,
        wallMs: Long,
    ) {
        val maxNames = (cluster.limits.valueKb * NAME_BYTES_PER_KB).toInt() / (machines.maxOf { it.id.length } + NAME_OVERHEAD_BYTES)
        for (chunk in machines.chunked(maxOf(1, maxNames))) {
            val sinceWallMs = wallMs - (nowMs - chunk.maxOf { it.lease.renewedAtMs })
            val record = ZoneFence("${cluster.firstTerm}-${++lastNumber}", chunk.map { it.id }, sinceWallMs)
            toWrite[record.key] = record
            record.machines.forEach { fenceByMachine[it] = record.key }
            log("$zone: zone unresponsive, ${chunk.size} of its machines are fenced: their leases are not renewed until the fence is lifted")
        }
    }

    private fun releaseAttempts(
        proof: ZoneFence,
        nowMs: Long,
    ) {
        inherited.remove(proof.key)
        for (id in proof.machines) {
            // If the fence was lifted meanwhile, or another one names the machine, it may have been answered.
            if (fenceByMachine[id] != proof.key) continue
            val machine = cluster.machines[id] ?: continue
            machine.attempts.toList().forEach { cluster.release(it, nowMs, "lease expired, as the zone fence of an earlier leader proves") }
        }
    }

    private fun liftFencesOfGoneMachines() {
        val candidates =
            fenceByMachine.entries
                .filter { it.key !in cluster.machines }
                .map { it.value }
                .toSet()
        for (key in candidates) if (fenceByMachine.none { it.value == key && it.key in cluster.machines }) toDelete.add(key)
    }

    /** [record] has been written. */
    fun written(record: ZoneFence) {
        toWrite.remove(record.key)
    }

    /** The record under [key] has been deleted: its machines may be answered again. */
    fun deleted(key: String) {
        toDelete.remove(key)
        toWrite.remove(key)
        inherited.remove(key)
        fenceByMachine.values.removeAll { it == key }
    }

    private companion object {
        /** Bytes of each KiB of a value that names may take. */
        const val NAME_BYTES_PER_KB = 900

        /** Quotes and comma of one name. */
        const val NAME_OVERHEAD_BYTES = 3
    }
}
