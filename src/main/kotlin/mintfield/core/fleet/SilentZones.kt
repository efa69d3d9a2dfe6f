package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.Tuning

/**
 * A leader's word, kept in the state service: it has not answered [machines] since [sinceWallMs] (time of day), and will not
 * while this stands. Recorded as the output of a step, so that a successor, which has heard none of them, has proof that
 * their leases have ended.
 */
class DisownRecord(
    val key: String,
    val machines: List<String>,
    val sinceWallMs: Long,
)

/**
 * When most of a zone falls silent its machines are disowned. Without that, a leader lost before their leases ended took all
 * knowledge of when they end with it: replicas that had died in a zone cut off stayed planned there until it came back.
 *
 * Nobody may answer a disowned machine before its record is deleted: neither the leader that wrote it nor any successor, which
 * therefore reads the records before it answers anybody. A machine that turns up has its record deleted first; that takes as
 * long as a transaction, for which its report waits.
 */
class SilentZones(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Machines not to be answered, and the record that names each. */
    private val standing = HashMap<String, String>()

    /** Records of earlier leaders that have not served as proof yet. */
    private val inherited = LinkedHashMap<String, DisownRecord>()
    private val toWrite = LinkedHashMap<String, DisownRecord>()
    private val toDelete = LinkedHashSet<String>()
    private var lastLookMs = Machine.NEVER
    private var number = 0

    /** Whether the records of earlier leaders have been read; nobody is answered before. */
    var read = false

    /** What is to be deleted is not written any more: one transaction must not name a key twice. */
    val wanted: Collection<DisownRecord> get() = toWrite.values.filter { it.key !in toDelete }
    val unwanted: Collection<String> get() = toDelete

    fun replay(record: DisownRecord) {
        inherited[record.key] = record
        record.machines.forEach { standing[it] = record.key }
    }

    /** A record that cannot be read proves nothing and goes. */
    fun replayUnreadable(key: String) {
        toDelete.add(key)
    }

    /** Whether a report of [machine] may be answered now; if not because it is disowned, that is about to end. */
    fun mayAnswer(machine: String): Boolean {
        if (!read) return false
        toDelete.add(standing[machine] ?: return true)
        return false
    }

    /** Looks at the clock: zones that fell silent, leases that have ended by an earlier leader's word, records of no more use. */
    fun look(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (nowMs - lastLookMs < Tuning.DISOWN_LOOK_MS) return
        lastLookMs = nowMs
        val zones =
            cluster.machines.values
                .filter { heardHere(it) }
                .groupBy { it.zone }
        val silentZones = zones.filterValues { mostlySilent(it) }
        // If no zone is heard, it is this leader that is cut off from its workers. They are about to come back by way of the
        // siblings, and a third of their lease is gone by then: nothing must be in their way.
        if (silentZones.size < zones.size) {
            for ((zone, machines) in silentZones) {
                val silent = machines.filter { it.state == MachineState.SILENT }
                disown(zone, silent.filter { it.attempts.isNotEmpty() && it.id !in standing }, nowMs, wallMs)
            }
        }
        for (record in inherited.values.toList()) {
            if (wallMs - record.sinceWallMs > cluster.timings.leaseEndedMs + Tuning.WALL_MARGIN_MS) prove(record, nowMs)
        }
        val gone =
            standing.entries
                .filter { it.key !in cluster.machines }
                .map { it.value }
                .toSet()
        for (key in gone) if (standing.none { it.value == key && it.key in cluster.machines }) toDelete.add(key)
    }

    private fun mostlySilent(machines: List<Machine>): Boolean {
        val silent = machines.count { it.state == MachineState.SILENT }
        return silent >= Tuning.DISOWN_LEAST && silent > machines.size * Tuning.SILENT_ZONE_SHARE
    }

    private fun heardHere(m: Machine) = m.state != MachineState.AWAY && cluster.heardOurs(m) && m.answeredAtMs != Machine.NEVER

    /** Whether the machine [id] is not answered by this leader's or an earlier one's word. */
    fun isDisowned(id: String) = id in standing

    private fun disown(
        zone: String,
        silent: List<Machine>,
        nowMs: Long,
        wallMs: Long,
    ) {
        if (silent.isEmpty()) return
        val most = (cluster.limits.valueKb * VALUE_BYTES_USED).toInt() / (silent.maxOf { it.id.length } + ID_FRAME)
        for (some in silent.chunked(maxOf(1, most))) {
            val since = wallMs - (nowMs - some.maxOf { it.answeredAtMs })
            val record = DisownRecord("${cluster.firstTerm}-${++number}", some.map { it.id }, since)
            toWrite[record.key] = record
            record.machines.forEach { standing[it] = record.key }
            log("$zone is silent: ${some.size} of its machines are not answered any more until that is undone")
        }
    }

    private fun prove(
        record: DisownRecord,
        nowMs: Long,
    ) {
        inherited.remove(record.key)
        for (id in record.machines) {
            // Deleted meanwhile, or named anew: then it may have been answered.
            if (standing[id] != record.key) continue
            val m = cluster.machines[id] ?: continue
            m.attempts.toList().forEach { cluster.release(it, nowMs, "lease ended by the word of an earlier leader") }
        }
    }

    fun written(record: DisownRecord) {
        toWrite.remove(record.key)
    }

    fun deleted(key: String) {
        toDelete.remove(key)
        toWrite.remove(key)
        inherited.remove(key)
        standing.values.removeAll { it == key }
    }

    private companion object {
        /** Bytes of a value of one KiB that names may take. */
        const val VALUE_BYTES_USED = 900

        /** Quotes and comma of one name. */
        const val ID_FRAME = 3
    }
}
