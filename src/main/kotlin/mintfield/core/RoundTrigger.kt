package mintfield.core

import mintfield.core.constants.PlacementConstants
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.Machine
import mintfield.core.jobs.FailureAttribution
import mintfield.core.model.Shape
import mintfield.core.placement.SchedulingRound

/** Runs scheduling rounds when they are due: for all jobs at intervals or on request, and for service replicas alone in between. */
internal class RoundTrigger(
    private val cluster: Cluster,
    private val failureAttribution: FailureAttribution,
    private val inheritedUrgency: InheritedUrgency,
    log: (String) -> Unit,
) {
    private val round = SchedulingRound(cluster, log)
    private var lastRoundMs = Machine.NEVER
    private var lastReplicaRoundMs = Machine.NEVER

    /** Runs a round if one is due. With [scarce] few writes are permitted at present, and rounds are less frequent. */
    fun runIfDue(
        nowMs: Long,
        wallMs: Long,
        scarce: Boolean,
    ) {
        val maxTasks = cluster.roundTasks()
        val intervalMs = if (scarce) PlacementConstants.ROUND_INTERVAL_SCARCE_WRITES_MS else PlacementConstants.ROUND_INTERVAL_MS
        if (cluster.roundRequested || nowMs - lastRoundMs >= intervalMs) {
            lastRoundMs = nowMs
            lastReplicaRoundMs = nowMs
            cluster.roundBegun()
            inheritedUrgency.refresh(nowMs, wallMs)
            failureAttribution.checkUnprovenJobs(nowMs)
            round.run(nowMs, wallMs, maxTasks)
            return
        }
        if (nowMs - lastReplicaRoundMs < PlacementConstants.REPLICA_ROUND_INTERVAL_MS || !hasWaitingReplicas(nowMs)) return
        val planned = round.run(nowMs, wallMs, maxTasks, replicasOnly = true)
        // Replicas that fit on no machine now are unlikely to fit before the next round for all jobs.
        lastReplicaRoundMs = if (planned > 0) nowMs else nowMs + PlacementConstants.ROUND_INTERVAL_MS
    }

    private fun hasWaitingReplicas(nowMs: Long): Boolean =
        cluster.jobs.values.any { it.spec.shape == Shape.SERVICE && !it.cancelled && nowMs >= it.notBeforeMs && it.schedulableTasks > 0 }
}
