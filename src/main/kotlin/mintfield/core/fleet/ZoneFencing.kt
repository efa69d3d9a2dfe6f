package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants

/**
 * Fences the unresponsive machines of a zone in which most machines are unresponsive, as after a partition. Without fences, the loss of the
 * leader before the leases have expired would also lose the expiry times, and the attempts on the machines would remain assigned until
 * the zone is back.
 *
 * No leader may respond to a fenced machine before its record is deleted: neither the leader that wrote the record nor a successor, which
 * therefore reads all records before it responds to any machine. When a fenced machine sends a heartbeat, its record is deleted first;
 * the heartbeat gets its response after that transaction.
 */
class ZoneFencing(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Key of the record that fences each machine, by machine name; fenced machines must not get responses. */
    private val fenceByMachine = HashMap<String, String>()

    /** Records of earlier leaders that have not been used as proof of lease expiry yet. */
    private val inherited = LinkedHashMap<String, ZoneFence>()
    private val toWrite = LinkedHashMap<String, ZoneFence>()
    private val toDelete = LinkedHashSet<String>()
    private var lastCheckMs = Machine.NEVER
    private var lastNumber = 0

    /** Whether the records of earlier leaders have been read; no machine gets a response before. */
    private var hasReadRecords = false

    /** Records to be written, without those also due for deletion, as a transaction must not contain a key twice. */
    val fencesToWrite: Collection<ZoneFence> get() = toWrite.values.filter { it.key !in toDelete }

    /** Keys of records to be deleted. */
    val fencesToLift: Collection<String> get() = toDelete

    /** Adds [record], which an earlier leader has written. */
    fun replay(record: ZoneFence) {
        inherited[record.key] = record
        record.machines.forEach { fenceByMachine[it] = record.key }
    }

    /** The records of earlier leaders have all been passed to this class. From now on machines may get responses. */
    fun recordsRead() {
        hasReadRecords = true
    }

    /** Schedules the deletion of the record under [key], which cannot be decoded and so proves nothing. */
    fun replayUnreadable(key: String) {
        toDelete.add(key)
    }

    /** Whether the leader may respond to a heartbeat of [machine] now. If the machine is fenced, schedules the lifting of its fence. */
    fun mayRespondTo(machine: String): Boolean {
        if (!hasReadRecords) return false
        val key = fenceByMachine[machine] ?: return true
        toDelete.add(key)
        return false
    }

    /** Whether a fence of this or an earlier leader names the machine [id]. */
    fun isFenced(id: String): Boolean = id in fenceByMachine

    /** Fences unresponsive zones, applies inherited records as proof, and schedules the deletion of fences whose machines have all been removed. */
    fun updateFences(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (nowMs - lastCheckMs < FleetConstants.ZONE_FENCE_CHECK_MS) return
        lastCheckMs = nowMs
        fenceUnresponsiveZones(nowMs, wallMs)
        for (record in inherited.values.toList()) {
            if (wallMs - record.sinceWallMs > cluster.timings.leaseExpiryMs + FleetConstants.WALL_CLOCK_MARGIN_MS) releaseAttempts(record, nowMs)
        }
        liftFencesOfRemovedMachines()
    }

    /**
     * Does nothing if all zones are unresponsive: the leader is then cut off from its workers. Their heartbeats will soon arrive through the
     * peers, with a third of their lease already used up, so no fence must delay the responses.
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
            // If the fence was lifted in the meantime, or another fence names the machine, the machine may have got a response.
            if (fenceByMachine[id] != proof.key) continue
            val machine = cluster.machines[id] ?: continue
            machine.attempts.toList().forEach { cluster.release(it, nowMs, "lease expired, as the zone fence of an earlier leader proves") }
        }
    }

    private fun liftFencesOfRemovedMachines() {
        val candidates =
            fenceByMachine.entries
                .filter { it.key !in cluster.machines }
                .map { it.value }
                .toSet()
        for (key in candidates) if (fenceByMachine.none { it.value == key && it.key in cluster.machines }) toDelete.add(key)
    }

    /** Handles the completed write of [record]. */
    fun onFenceWritten(record: ZoneFence) {
        toWrite.remove(record.key)
    }

    /** Handles the completed deletion of the record under [key]: its machines may get responses again. */
    fun onFenceDeleted(key: String) {
        toDelete.remove(key)
        toWrite.remove(key)
        inherited.remove(key)
        fenceByMachine.values.removeAll { it == key }
    }

    private companion object {
        /** Bytes per KiB of the value limit that machine names may use. */
        const val NAME_BYTES_PER_KB = 900

        /** Bytes of the quotes and the comma around one name. */
        const val NAME_OVERHEAD_BYTES = 3
    }
}
