package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job

/** Logs why the job that has waited longest for a placement is not placed: the number of machines with each [PlacementObstacle]. */
internal class StalledJobReport(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private var nextCheckAtMs = 0L

    /**
     * Reports one job of [waiting] after a round, at most once per [PlacementConstants.STALL_REPORT_INTERVAL_MS]. Jobs of a team at its limit
     * are not reported.
     */
    fun report(
        waiting: List<Job>,
        openMachines: List<Machine>,
        reserve: ReplicaReserve,
        starvation: StarvationGuard,
        nowMs: Long,
    ) {
        if (nowMs < nextCheckAtMs) return
        nextCheckAtMs = nowMs + PlacementConstants.STALL_CHECK_INTERVAL_MS
        val stalled = waiting.filter { it.schedulableTasks > 0 && cluster.quotas.allowance(it.spec) > 0 }
        val job = stalled.maxByOrNull { it.placementWaitMs(nowMs) } ?: return
        val waitMs = job.placementWaitMs(nowMs)
        if (waitMs < PlacementConstants.STALL_REPORT_AFTER_MS) return
        nextCheckAtMs = nowMs + PlacementConstants.STALL_REPORT_INTERVAL_MS
        val obstacles = obstacles(job, openMachines, reserve, starvation.reservedForGang(openMachines), nowMs)
        log("${job.id}: no placement for ${waitMs / TimeUnits.MS_PER_SECOND} s, ${job.schedulableTasks} tasks wait; machines: ${describe(obstacles)}")
    }

    private fun obstacles(
        job: Job,
        openMachines: List<Machine>,
        reserve: ReplicaReserve,
        reservedForGang: Set<Machine>,
        nowMs: Long,
    ): Map<PlacementObstacle?, Int> {
        val filter = PlacementFilter(job, ZoneConstraint(job, openMachines), openMachines, reserve, nowMs)
        val found = openMachines.map { filter.obstacle(it) ?: PlacementObstacle.GANG_RESERVE.takeIf { _ -> it in reservedForGang } }
        val counts = found.groupingBy { it }.eachCount().toMutableMap()
        val closed = cluster.machines.size - openMachines.size
        if (closed > 0) counts[PlacementObstacle.CLOSED] = closed
        return counts
    }

    private fun describe(obstacles: Map<PlacementObstacle?, Int>): String =
        obstacles.entries.joinToString(", ") { (obstacle, machines) -> "$machines ${obstacle?.description ?: "available"}" }
}
