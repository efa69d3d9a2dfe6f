package mintfield.core.ownership

import mintfield.core.Cluster
import mintfield.core.Tuning
import mintfield.core.fleet.MachineState

/** CPUs that jobs of a share wait for and that its machines do not have free. */
fun shortCpus(cluster: Cluster): Double {
    val wanted = cluster.jobs.values.sumOf { if (it.withdrawn) 0.0 else it.askable * it.spec.cpus }
    val free = cluster.machines.values.sumOf { if (it.state == MachineState.UP && cluster.ownership.mayStart(it.id)) it.freeCpus else 0.0 }
    return maxOf(0.0, wanted - free)
}

/**
 * Gives machines that stand idle in one share to one that is short: a job must not wait in one share while a machine of another has room. Only
 * the owner gives, only machines without tasks that have been so for a while, few at a time, and none below its floor.
 */
class Rebalancer(
    private val share: String,
    private val cluster: Cluster,
    private val table: AssignmentTable,
    private val shares: Shares,
    /** CPUs that another share is short of, as far as is known. */
    private val shortage: (String) -> Double,
) {
    private val idleSinceMs = HashMap<String, Long>()
    private var lastMs = Long.MIN_VALUE / 2

    /** The machines to be given now, each with the share that gets it. */
    fun gifts(
        nowMs: Long,
        targets: Collection<String>,
    ): Map<String, String> {
        val idle = idle(nowMs)
        if (idle.isEmpty() || nowMs - lastMs < Tuning.REBALANCE_MS || shortCpus(cluster) > 0) return emptyMap()
        val target = targets.filter { it != share && shares.isLive(it) && shortage(it) > 0 }.maxByOrNull(shortage) ?: return emptyMap()
        lastMs = nowMs
        val most = minOf(maxOf(1, (table.count(share) * Tuning.REBALANCE_SHARE).toInt()), shares.spare(share))
        var left = shortage(target)
        val given = LinkedHashMap<String, String>()
        for (machine in idle.take(maxOf(0, most))) {
            if (left <= 0) break
            given[machine] = target
            left -=
                cluster.machines
                    .getValue(machine)
                    .type.cpus
        }
        return given
    }

    private fun idle(nowMs: Long): List<String> {
        val now =
            cluster.machines.values
                .filter { it.state == MachineState.UP && !it.inUse && cluster.ownership.mayStart(it.id) }
                .map { it.id }
        idleSinceMs.keys.retainAll(now.toSet())
        return now.filter { nowMs - idleSinceMs.getOrPut(it) { nowMs } >= Tuning.IDLE_GIVEN_MS }
    }
}
