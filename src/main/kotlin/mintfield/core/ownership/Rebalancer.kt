package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/**
 * Gives machines of one share to shares that are short: a job must not wait in one share while a machine of another has room, and while
 * all are short each is due its part by weight. Only the owner gives, few machines at a time, none below its floor, and only such as the
 * waiting tasks fit on. Tasks on a machine that is given run on there until they end.
 */
class Rebalancer(
    private val shard: String,
    private val cluster: Cluster,
    private val table: AssignmentTable,
    private val shards: Shards,
    private val loads: ShardLoads,
) {
    private class Grant(
        val target: String,
        val cpus: Double,
        val atMs: Long,
    )

    /** A share that is short, with what it still lacks once everything that was given to it has arrived. */
    private class Deficit(
        val name: String,
        val load: ShardLoad,
        var deficitCpus: Double,
    ) {
        fun wants(machine: Machine) = deficitCpus > 0 && machine.kind in load.shortOf
    }

    private val meter = LoadMeter(cluster)
    private val idleSinceMs = HashMap<String, Long>()
    private val grants = ArrayList<Grant>()

    /** Since when each share that is short has been so. */
    private val deficitSinceMs = HashMap<String, Long>()
    private var lastLookMs = Long.MIN_VALUE / 2

    /** The machines to be given now, each with the share that gets it. */
    fun transfers(
        nowMs: Long,
        targets: Collection<String>,
    ): Map<String, String> {
        val idle = idle(nowMs)
        if (nowMs - lastLookMs < ShardingConstants.REBALANCE_INTERVAL_MS) return emptyMap()
        lastLookMs = nowMs
        grants.removeAll { nowMs - it.atMs > ShardingConstants.TRANSFER_PENDING_MS }
        val others = targets.filter { it != shard && shards.isLive(it) }.mapNotNull { name -> loads.load(name)?.let { name to it } }.toMap()
        val deficits = others.map { (name, load) -> Deficit(name, load, load.shortCpus - granted(name)) }.filter { it.deficitCpus > 0 }
        deficitSinceMs.keys.retainAll(deficits.mapTo(HashSet()) { it.name })
        deficits.forEach { deficitSinceMs.putIfAbsent(it.name, nowMs) }
        val most = mostAtOnce()
        if (deficits.isEmpty() || most <= 0) return emptyMap()
        val own = meter.measure()
        val transferred =
            idleTransfers(idle, own, deficits, most)
                .ifEmpty { fairShareTransfers(own, others, deficits, most, nowMs) }
                .ifEmpty { capacityTransfer(own, deficits, nowMs) }
        for ((machine, target) in transferred) grants.add(Grant(target, machine.type.cpus, nowMs))
        return transferred.entries.associate { (machine, target) -> machine.id to target }
    }

    private fun mostAtOnce(): Int = minOf(maxOf(1, (table.count(shard) * ShardingConstants.REBALANCE_FRACTION).toInt()), shards.spare(shard))

    private fun granted(target: String) = grants.sumOf { if (it.target == target) it.cpus else 0.0 }

    private fun idle(nowMs: Long): List<Machine> {
        val now = cluster.machines.values.filter { it.state == MachineState.UP && !it.inUse && cluster.ownership.mayStart(it.id) }
        idleSinceMs.keys.retainAll(now.mapTo(HashSet()) { it.id })
        return now.filter { nowMs - idleSinceMs.getOrPut(it.id) { nowMs } >= ShardingConstants.IDLE_TRANSFER_MS }
    }

    /** Machines that stand idle and that this share's own waiting tasks have no use for. */
    private fun idleTransfers(
        idle: List<Machine>,
        own: ShardLoad,
        deficits: List<Deficit>,
        most: Int,
    ): Map<Machine, String> {
        val transferred = LinkedHashMap<Machine, String>()
        for (machine in idle) {
            if (transferred.size == most) break
            if (machine.kind in own.shortOf) continue
            val target = deficits.filter { it.wants(machine) }.maxByOrNull { it.deficitCpus } ?: continue
            transferred[machine] = target.name
            target.deficitCpus -= machine.type.cpus
        }
        return transferred
    }

    /** Machines in use, from a share that has more than its part to the one that has the least of its part. */
    private fun fairShareTransfers(
        own: ShardLoad,
        others: Map<String, ShardLoad>,
        deficits: List<Deficit>,
        most: Int,
        nowMs: Long,
    ): Map<Machine, String> {
        val all = others + (shard to own)
        val due = FairShares.divide(all.values.sumOf { it.ownedCpus }, all.mapValues { (name, load) -> FairShares.Claim(loads.weight(name), load.wantedCpus) })
        val ownDue = due.getValue(shard)
        var excess = own.ownedCpus - ownDue
        if (excess <= ownDue * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyMap()
        val target = deficits.maxByOrNull { lackOf(it, due) / due.getValue(it.name) } ?: return emptyMap()
        var lack = lackOf(target, due)
        if (lack <= due.getValue(target.name) * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyMap()
        val transferred = LinkedHashMap<Machine, String>()
        for (machine in movable(nowMs).filter { target.wants(it) }) {
            if (transferred.size == most) break
            if (machine.type.cpus > excess || machine.type.cpus > lack) continue
            transferred[machine] = target.name
            excess -= machine.type.cpus
            lack -= machine.type.cpus
        }
        return transferred
    }

    /** When a share has been short for long: one machine that has room for its smallest task, if this share has no use for that room. */
    private fun capacityTransfer(
        own: ShardLoad,
        deficits: List<Deficit>,
        nowMs: Long,
    ): Map<Machine, String> {
        if (own.shortCpus > 0) return emptyMap()
        val target =
            deficits.filter { nowMs - deficitSinceMs.getValue(it.name) > ShardingConstants.CAPACITY_TRANSFER_DELAY_MS }.maxByOrNull { it.deficitCpus }
                ?: return emptyMap()
        val machine = movable(nowMs).firstOrNull { target.wants(it) && it.freeCpus >= target.load.smallestCpus } ?: return emptyMap()
        return mapOf(machine to target.name)
    }

    /** CPUs that [deficits] has less than it is due, once everything that was given to it has arrived. */
    private fun lackOf(
        deficits: Deficit,
        due: Map<String, Double>,
    ) = due.getValue(deficits.name) - deficits.load.ownedCpus - granted(deficits.name)

    /** Machines that may be given though they are in use, those with the most room first; none that has just come. */
    private fun movable(nowMs: Long): List<Machine> =
        cluster.machines.values
            .filter {
                it.state == MachineState.UP &&
                    cluster.ownership.mayStart(it.id) &&
                    nowMs - it.origin.adoptedAtMs > ShardingConstants.MIN_STAY_AFTER_MOVE_MS
            }.sortedByDescending { it.freeCpus }
}
