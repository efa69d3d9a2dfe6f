package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.AttemptState

/** Looks at the clock for each machine: silence, leases that have certainly ended, machines that never come up or fail what they get. */
class MachineWatch(
    private val cluster: Cluster,
    private val scheduleRelease: (Machine, Long, String) -> Unit,
    private val listLagMs: () -> Long,
) {
    private var startedAtMs = Machine.NEVER

    /** Looks at all machines. */
    fun look(nowMs: Long) {
        if (startedAtMs == Machine.NEVER) startedAtMs = nowMs
        val unresponsiveByZone = HashMap<String, Int>()
        val byZone = HashMap<String, Int>()
        for (m in cluster.machines.values) {
            if (m.state == MachineState.OWNED_ELSEWHERE || (m.lastContactAtMs == Machine.NEVER && m.attempts.isEmpty())) continue
            byZone.merge(m.zone, 1, Int::plus)
            if (nowMs - m.lastContactAtMs > cluster.timings.heartbeatTimeoutMs) unresponsiveByZone.merge(m.zone, 1, Int::plus)
        }
        val unreachable = cluster.machines.values.count { it.state == MachineState.UP && it.reachability.state == ReachabilityState.UNREACHABLE }
        // Many at once speak of the network, not of the machines.
        val releaseUnreachable =
            unreachable <= maxOf(WorkerConstants.MAX_BLAMED_UNREACHABLE, (cluster.machines.size * WorkerConstants.MAX_BLAMED_UNREACHABLE_FRACTION).toInt())
        for (m in cluster.machines.values.toList()) {
            if (m.state == MachineState.UP) watchReachability(m, releaseUnreachable, nowMs)
            when (m.state) {
                MachineState.PROVISIONING ->
                    pendingPredecessors(
                        m,
                        nowMs,
                        (unresponsiveByZone[m.zone] ?: 0) > FleetConstants.UNRESPONSIVE_ZONE_FRACTION * (byZone[m.zone] ?: 1),
                    )
                MachineState.UP -> if (nowMs - m.lastContactAtMs > cluster.timings.heartbeatTimeoutMs) m.moveTo(MachineState.UNRESPONSIVE, nowMs)
                MachineState.UNRESPONSIVE ->
                    silent(
                        m,
                        nowMs,
                        (unresponsiveByZone[m.zone] ?: 0) > FleetConstants.UNRESPONSIVE_ZONE_FRACTION * (byZone[m.zone] ?: 1),
                    )
                else -> {}
            }
            expire(m, nowMs)
            val faulty = m.attributedFailures >= PlacementConstants.QUARANTINE_FAILURES || m.suspectJobs.size >= PlacementConstants.RELEASE_SUSPECT_JOBS
            if (m.state == MachineState.UP && faulty) {
                scheduleRelease(m, nowMs, "its tasks fail")
            }
        }
    }

    /** A machine that reports but does not hear is returned if that lasts, or if it holds what must not run any more. */
    private fun watchReachability(
        m: Machine,
        releaseUnreachable: Boolean,
        nowMs: Long,
    ) {
        if (!releaseUnreachable) return
        if (m.reachability.state == ReachabilityState.UNREACHABLE && nowMs - m.reachability.sinceMs > WorkerConstants.UNREACHABLE_RELEASE_MS) {
            return scheduleRelease(m, nowMs, "unreachable for ${(nowMs - m.reachability.sinceMs) / 1000} s")
        }
        val limit = cluster.settings.cancelS * 1000 * WorkerConstants.CANCEL_RELEASE_FRACTION
        m.foreignTasks.notStopped(nowMs - limit.toLong())?.let { return scheduleRelease(m, nowMs, "${it.status.task} of another shard does not stop there") }
        if (m.count(AttemptState.STOPPING) == 0) return
        m.attempts.firstOrNull { it.state == AttemptState.STOPPING && it.job.cancelled && nowMs - it.changedAtMs > limit }?.let {
            scheduleRelease(m, nowMs, "${it.job.spec.id}/${it.index} is cancelled and does not stop there")
        }
    }

    private fun pendingPredecessors(
        m: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        // What a plan names was up once. If it died before the failover, only its return proves that its tasks are gone.
        if (m.attempts.isNotEmpty() || m.adoptedAtMs != Machine.NEVER) {
            val limit =
                when {
                    m.provisional && m.attempts.isNotEmpty() -> cluster.timings.unlistedReleaseMs
                    zoneUnresponsive -> FleetConstants.UNRESPONSIVE_ZONE_RELEASE_MS
                    m.adoptedAtMs != Machine.NEVER -> maxOf(cluster.timings.replayedReleaseMs, listLagMs())
                    else -> cluster.timings.replayedReleaseMs
                }
            if (nowMs - maxOf(m.firstSeenAtMs, startedAtMs) > limit) scheduleRelease(m, nowMs, "in use, but no heartbeat has reached this leader")
            return
        }
        val patience = m.type.bootS * 1000 * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_MS
        if (nowMs - m.firstSeenAtMs > patience && nowMs - startedAtMs > FleetConstants.BOOT_TIMEOUT_SLACK_MS) scheduleRelease(m, nowMs, "never came up")
    }

    private fun silent(
        m: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        val taken = m.terminationAtMs
        val limit = if (zoneUnresponsive) FleetConstants.UNRESPONSIVE_ZONE_RELEASE_MS else cluster.timings.unresponsiveReleaseMs
        when {
            taken != null && nowMs > taken + cluster.timings.heartbeatTimeoutMs -> scheduleRelease(m, nowMs, "termination notice ran out, unresponsive")
            nowMs - m.lastContactAtMs > limit -> scheduleRelease(m, nowMs, "unresponsive for ${(nowMs - m.lastContactAtMs) / 1000} s")
        }
    }

    /**
     * Proof by lease: the worker has seen a term of this leader, so nobody else could have renewed its lease since, and
     * the last answer that might have done so is longer ago than the lease can last.
     */
    private fun expire(
        m: Machine,
        nowMs: Long,
    ) {
        if (m.attempts.isEmpty() || m.state == MachineState.OWNED_ELSEWHERE || !leaseExpired(m, nowMs)) return
        for (a in m.attempts.toList()) {
            // Planned in the incarnation that has ended: a start still under way names that incarnation and is refused.
            cluster.release(a, nowMs, "lease expired, unresponsive for ${(nowMs - m.lastContactAtMs) / 1000} s")
        }
    }

    /** Whether the lease that [m] had from this leader has certainly ended. */
    fun leaseExpired(
        m: Machine,
        nowMs: Long,
    ) = cluster.hasSeenOurToken(m) && m.leaseRenewedAtMs != Machine.NEVER && nowMs - m.leaseRenewedAtMs > cluster.timings.leaseExpiryMs
}
