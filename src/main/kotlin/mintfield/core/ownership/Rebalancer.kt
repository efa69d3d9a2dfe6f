package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/**
 * Transfers machines of the shard [shard] to shards with a deficit: tasks must not wait in one shard while a machine of another has room
 * for them, and while all shards are short each is due its fair share by weight. Only the owner transfers machines, few at a time, none
 * below its floor, and only such as the waiting tasks fit on. Tasks on a transferred machine run on there until they end.
 */
class Rebalancer(
    private val shard: String,
    private val cluster: Cluster,
    private val table: AssignmentTable,
    private val shards: Shards,
    private val loads: ShardLoads,
) {
    /** A transfer that was ordered and that the load reported by [target] may not show yet. */
    private class PendingTransfer(
        val target: String,
        val cpus: Double,
        val atMs: Long,
    )

    private class PlannedTransfer(
        val machine: Machine,
        val target: String,
    )

    /** A shard that is short of [deficitCpus], once all machines that were transferred to it have arrived. */
    private class Deficit(
        val shard: String,
        val load: ShardLoad,
        var deficitCpus: Double,
    ) {
        fun wants(machine: Machine) = deficitCpus > 0 && machine.kind in load.shortOf
    }

    /** What one round of rebalancing works with. */
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

    /** Since when each shard with a deficit has had it. */
    private val deficitSinceMs = HashMap<String, Long>()
    private var lastRoundMs = Machine.NEVER

    /** The transfers to order at [nowMs]; [targets] are the names of all shards. Empty between two rounds. */
    fun transfers(
        nowMs: Long,
        targets: Collection<String>,
    ): List<MachineTransfer> {
        // Observed at each call, so that the time for which a machine has been idle is exact.
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

    /** Idle machines that this shard's own waiting tasks do not fit on, each to the shard with the largest deficit that they fit. */
    private fun idleTransfers(
        idle: List<Machine>,
        round: Round,
    ): List<PlannedTransfer> {
        val planned = ArrayList<PlannedTransfer>()
        for (machine in idle.filter { it.kind !in round.own.shortOf }) {
            if (planned.size == round.maxTransfers) break
            val target = round.deficits.filter { it.wants(machine) }.maxByOrNull { it.deficitCpus } ?: continue
            planned.add(PlannedTransfer(machine, target.shard))
            target.deficitCpus -= machine.type.cpus
        }
        return planned
    }

    /** Machines in use, while this shard has more than its fair share, to the one that lacks the most of its own in proportion. */
    private fun fairShareTransfers(round: Round): List<PlannedTransfer> {
        val due = fairShares(round)
        val ownDue = due.getValue(shard)
        val excess = round.own.ownedCpus - ownDue
        val target = round.deficits.maxByOrNull { lackOf(it, due) / due.getValue(it.shard) }
        if (target == null || excess <= ownDue * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyList()
        val lack = lackOf(target, due)
        if (lack <= due.getValue(target.shard) * ShardingConstants.FAIR_SHARE_TOLERANCE) return emptyList()
        return transfersOfAtMost(minOf(excess, lack), target, round)
    }

    /** The CPUs due to each shard, this one included, out of all that they own together. */
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
        for (machine in movableMachines(round.nowMs).filter { target.wants(it) }) {
            if (planned.size == round.maxTransfers) break
            if (machine.type.cpus > remainingCpus) continue
            planned.add(PlannedTransfer(machine, target.shard))
            remainingCpus -= machine.type.cpus
        }
        return planned
    }

    /** One machine with room for the smallest task of a shard that has been short for long, if this shard has no use for that room. */
    private fun capacityTransfer(round: Round): List<PlannedTransfer> {
        if (round.own.shortCpus > 0) return emptyList()
        val target =
            round.deficits
                .filter { round.nowMs - deficitSinceMs.getValue(it.shard) > ShardingConstants.CAPACITY_TRANSFER_DELAY_MS }
                .maxByOrNull { it.deficitCpus } ?: return emptyList()
        val machine = movableMachines(round.nowMs).firstOrNull { target.wants(it) && it.freeCpus >= target.load.smallestCpus }
        return listOfNotNull(machine?.let { PlannedTransfer(it, target.shard) })
    }

    /** CPUs that the shard of [deficit] has less than it is due, once all machines that were transferred to it have arrived. */
    private fun lackOf(
        deficit: Deficit,
        due: Map<String, Double>,
    ) = due.getValue(deficit.shard) - deficit.load.ownedCpus - pendingCpus(deficit.shard)

    /** Machines that may be moved while they are in use, those with the most free CPUs first; none that came a short time ago. */
    private fun movableMachines(nowMs: Long): List<Machine> =
        cluster.machines.values
            .filter {
                it.state == MachineState.UP &&
                    cluster.ownership.mayStart(it.id) &&
                    nowMs - it.origin.adoptedAtMs > ShardingConstants.MIN_STAY_AFTER_MOVE_MS
            }.sortedByDescending { it.freeCpus }
}
