package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/**
 * Transfers machines of the shard [shard] to shards with a deficit. Tasks must not wait in one shard while a machine of another shard has
 * capacity for them, and while all shards have a deficit each gets its fair share by weight. Only the owner transfers machines, few at a
 * time, never below its floor, and only machines that the waiting tasks fit on. Tasks on a transferred machine continue to run there.
 */
class Rebalancer(
    private val shard: String,
    private val cluster: Cluster,
    private val table: AssignmentTable,
    private val shards: Shards,
    private val loads: ShardLoads,
) {
    /** An ordered transfer that the load reported by [target] may not include yet. */
    private class PendingTransfer(
        val target: String,
        val cpus: Double,
        val atMs: Long,
    )

    private class PlannedTransfer(
        val machine: Machine,
        val target: String,
    )

    /** The deficit of a shard: it still needs [deficitCpus] in addition to all machines being transferred to it. */
    private class Deficit(
        val shard: String,
        val load: ShardLoad,
        var deficitCpus: Double,
    ) {
        fun canUse(machine: Machine) = deficitCpus > 0 && machine.kind in load.shortOf
    }

    /** The input of one round of rebalancing. */
    private class Round(
        val own: ShardLoad,
        val others: Map<String, ShardLoad>,
        val deficits: List<Deficit>,
        val maxTransfers: Int,
        val nowMs: Long,
    )

    private val meter = LoadMeter(cluster)
    private val idleSinceMs = HashMap<String, Long>()
    private val pending = ArrayList<PendingTransfer>()

    /** The time at which the deficit of each shard began. */
    private val deficitSinceMs = HashMap<String, Long>()
    private var lastRoundMs = Machine.NEVER

    /** The transfers to order at [nowMs]; [targets] are the names of all shards. Empty if the rebalancing interval has not passed since the last round. */
    fun transfers(
        nowMs: Long,
        targets: Collection<String>,
    ): List<MachineTransfer> {
        // Called even if no round is due, so that idle times are measured exactly.
        val idle = longIdleMachines(nowMs)
        if (nowMs - lastRoundMs < ShardingConstants.REBALANCE_INTERVAL_MS) return emptyList()
        lastRoundMs = nowMs
        pending.removeAll { nowMs - it.atMs > ShardingConstants.TRANSFER_PENDING_MS }
        val others = loadsOf(targets)
        val deficits = deficitsOf(others, nowMs)
        val maxTransfers = maxTransfers()
        if (deficits.isEmpty() || maxTransfers <= 0) return emptyList()
        val transfers = plan(idle, Round(meter.measure(), others, deficits, maxTransfers, nowMs))
        for (transfer in transfers) pending.add(PendingTransfer(transfer.target, transfer.machine.type.cpus, nowMs))
        return transfers.map { MachineTransfer(it.machine.id, it.target) }
    }

    private fun plan(
        idle: List<Machine>,
        round: Round,
    ): List<PlannedTransfer> =
        idleTransfers(idle, round)
            .ifEmpty { fairShareTransfers(round) }
            .ifEmpty { capacityTransfer(round) }

    private fun loadsOf(targets: Collection<String>): Map<String, ShardLoad> =
        targets
            .filter { it != shard && shards.isLive(it) }
            .mapNotNull { name -> loads.load(name)?.let { name to it } }
            .toMap()

    private fun deficitsOf(
        others: Map<String, ShardLoad>,
        nowMs: Long,
    ): List<Deficit> {
        val deficits = others.map { (name, load) -> Deficit(name, load, load.shortCpus - pendingCpus(name)) }.filter { it.deficitCpus > 0 }
        deficitSinceMs.keys.retainAll(deficits.mapTo(HashSet()) { it.shard })
        deficits.forEach { deficitSinceMs.putIfAbsent(it.shard, nowMs) }
        return deficits
    }

    private fun maxTransfers(): Int {
        val fraction = (table.count(shard) * ShardingConstants.REBALANCE_FRACTION).toInt()
        return minOf(maxOf(1, fraction), shards.spare(shard))
    }

    private fun pendingCpus(target: String) = pending.sumOf { if (it.target == target) it.cpus else 0.0 }

    private fun longIdleMachines(nowMs: Long): List<Machine> {
        val idle = cluster.machines.values.filter { it.state == MachineState.UP && !it.inUse && cluster.ownership.mayStart(it.id) }
        idleSinceMs.keys.retainAll(idle.mapTo(HashSet()) { it.id })
        return idle.filter { nowMs - idleSinceMs.getOrPut(it.id) { nowMs } >= ShardingConstants.IDLE_TRANSFER_MS }
    }

    /** Transfers of idle machines that no waiting task of this shard fits on, each to the shard with the largest deficit that can use it. */
    private fun idleTransfers(
        idle: List<Machine>,
        round: Round,
    ): List<PlannedTransfer> {
        val planned = ArrayList<PlannedTransfer>()
        for (machine in idle.filter { it.kind !in round.own.shortOf }) {
            if (planned.size == round.maxTransfers) break
            val target = round.deficits.filter { it.canUse(machine) }.maxByOrNull { it.deficitCpus } ?: continue
            planned.add(PlannedTransfer(machine, target.shard))
            target.deficitCpus -= machine.type.cpus
        }
        return planned
    }

    /** Transfers of machines in use to the shard with the largest shortfall relative to its fair share, while this shard exceeds its own. */
    private fun fairShareTransfers(round: Round): List<PlannedTransfer> {
        val shares = fairShares(round)
        val ownShare = shares.getValue(shard)
        val excess = round.own.ownedCpus - ownShare
        val target = round.deficits.maxByOrNull { shortfallOf(it, shares) / shares.getValue(it.shard) }
        if (target == null || excess <= ownShare * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyList()
        val shortfall = shortfallOf(target, shares)
        if (shortfall <= shares.getValue(target.shard) * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyList()
        return transfersOfAtMost(minOf(excess, shortfall), target, round)
    }

    /** The fair share in CPUs of each shard, including this one, out of the CPUs that all of them own. */
    private fun fairShares(round: Round): Map<String, Double> {
        val all = round.others + (shard to round.own)
        val claims = all.mapValues { (name, load) -> FairShares.Claim(loads.weight(name), load.wantedCpus) }
        return FairShares.divide(all.values.sumOf { it.ownedCpus }, claims)
    }

    private fun transfersOfAtMost(
        cpus: Double,
        target: Deficit,
        round: Round,
    ): List<PlannedTransfer> {
        val planned = ArrayList<PlannedTransfer>()
        var remainingCpus = cpus
        for (machine in movableMachines(round.nowMs).filter { target.canUse(it) }) {
            if (planned.size == round.maxTransfers) break
            if (machine.type.cpus > remainingCpus) continue
            planned.add(PlannedTransfer(machine, target.shard))
            remainingCpus -= machine.type.cpus
        }
        return planned
    }

    /** Transfer of one machine with capacity for the smallest waiting task of a shard with a long deficit, if this shard has no deficit. */
    private fun capacityTransfer(round: Round): List<PlannedTransfer> {
        if (round.own.shortCpus > 0) return emptyList()
        val target =
            round.deficits
                .filter { round.nowMs - deficitSinceMs.getValue(it.shard) > ShardingConstants.CAPACITY_TRANSFER_DELAY_MS }
                .maxByOrNull { it.deficitCpus } ?: return emptyList()
        val machine = movableMachines(round.nowMs).firstOrNull { target.canUse(it) && it.freeCpus >= target.load.smallestCpus }
        return listOfNotNull(machine?.let { PlannedTransfer(it, target.shard) })
    }

    /** The CPUs by which the shard of [deficit] is below its fair share, counting the machines being transferred to it. */
    private fun shortfallOf(
        deficit: Deficit,
        shares: Map<String, Double>,
    ) = shares.getValue(deficit.shard) - deficit.load.ownedCpus - pendingCpus(deficit.shard)

    /** Machines that may be transferred while in use, most free CPUs first, without those adopted within the minimum stay. */
    private fun movableMachines(nowMs: Long): List<Machine> =
        cluster.machines.values
            .filter {
                it.state == MachineState.UP &&
                    cluster.ownership.mayStart(it.id) &&
                    nowMs - it.origin.adoptedAtMs > ShardingConstants.MIN_STAY_AFTER_MOVE_MS
            }.sortedByDescending { it.freeCpus }
}
