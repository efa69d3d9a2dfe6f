package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.AttemptState

/**
 * Applies the time limits of machines: heartbeat timeouts, leases that have certainly expired, and the release of machines that never
 * come up, stay silent, cannot be reached or fail their tasks.
 */
class MachineWatch(
    private val cluster: Cluster,
    private val releases: MachineReleases,
    private val listing: CloudListing,
) {
    private var startedAtMs = Machine.NEVER

    /** Checks all machines. */
    fun check(nowMs: Long) {
        if (startedAtMs == Machine.NEVER) startedAtMs = nowMs
        val unresponsiveZones = unresponsiveZones(nowMs)
        val releasesUnreachable = releasesUnreachable()
        for (machine in cluster.machines.values.toList()) {
            if (machine.state == MachineState.UP && releasesUnreachable) checkReachability(machine, nowMs)
            when (machine.state) {
                MachineState.PROVISIONING -> checkProvisioning(machine, nowMs, machine.zone in unresponsiveZones)
                MachineState.UP -> if (isSilent(machine, nowMs)) machine.moveTo(MachineState.UNRESPONSIVE, nowMs)
                MachineState.UNRESPONSIVE -> checkUnresponsive(machine, nowMs, machine.zone in unresponsiveZones)
                else -> {}
            }
            if (machine.occupancy.hasAttempts && machine.state != MachineState.OWNED_ELSEWHERE) checkLease(machine, nowMs)
            if (machine.state == MachineState.UP && isFaulty(machine.failureRecord)) releases.schedule(machine, nowMs, "its tasks fail")
        }
    }

    private fun isSilent(
        machine: Machine,
        nowMs: Long,
    ) = nowMs - machine.lastContactAtMs > cluster.timings.heartbeatTimeoutMs

    private fun isFaulty(failures: FailureRecord) =
        failures.attributedFailures >= PlacementConstants.QUARANTINE_FAILURES || failures.suspectJobs >= PlacementConstants.RELEASE_SUSPECT_JOBS

    /** Zones most of whose machines are silent, as after a partition. Machines that have never been up do not count. */
    private fun unresponsiveZones(nowMs: Long): Set<String> {
        val silent = HashMap<String, Int>()
        val all = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            val neverUp = machine.lastContactAtMs == Machine.NEVER && !machine.occupancy.hasAttempts
            if (machine.state == MachineState.OWNED_ELSEWHERE || neverUp) continue
            all.merge(machine.zone, 1, Int::plus)
            if (isSilent(machine, nowMs)) silent.merge(machine.zone, 1, Int::plus)
        }
        return silent.keys.filterTo(HashSet()) { silent.getValue(it) > FleetConstants.UNRESPONSIVE_ZONE_FRACTION * all.getValue(it) }
    }

    /** Whether unreachable machines may be released: if many are unreachable at once, the network is at fault and not the machines. */
    private fun releasesUnreachable(): Boolean {
        val unreachable = cluster.machines.values.count { it.state == MachineState.UP && it.reachability.state == ReachabilityState.UNREACHABLE }
        val fractionOfFleet = (cluster.machines.size * WorkerConstants.MAX_ATTRIBUTED_UNREACHABLE_FRACTION).toInt()
        return unreachable <= maxOf(WorkerConstants.MAX_ATTRIBUTED_UNREACHABLE, fractionOfFleet)
    }

    /** Releases a machine that sends heartbeats but cannot be reached, if that lasts or if it has tasks that must stop. */
    private fun checkReachability(
        machine: Machine,
        nowMs: Long,
    ) {
        val reachability = machine.reachability
        if (reachability.state == ReachabilityState.UNREACHABLE && nowMs - reachability.sinceMs > WorkerConstants.UNREACHABLE_RELEASE_MS) {
            return releases.schedule(machine, nowMs, "unreachable for ${seconds(nowMs - reachability.sinceMs)} s")
        }
        val limitMs = cluster.settings.cancelS * TimeUnits.MS_PER_SECOND * WorkerConstants.CANCEL_RELEASE_FRACTION
        val foreign = if (machine.occupancy.hasForeignTasks) machine.foreignTasks.notStopped(nowMs - limitMs.toLong()) else null
        if (foreign != null) return releases.schedule(machine, nowMs, "${foreign.status.task} of another shard does not stop there")
        if (machine.count(AttemptState.STOPPING) == 0) return
        val attempt = machine.attempts.firstOrNull { it.state == AttemptState.STOPPING && it.job.cancelled && nowMs - it.changedAtMs > limitMs }
        if (attempt != null) releases.schedule(machine, nowMs, "${attempt.job.spec.id}/${attempt.index} is cancelled and does not stop there")
    }

    private fun checkProvisioning(
        machine: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        if (machine.occupancy.hasAttempts || machine.origin.isAdopted) {
            // What a plan names has been up. If it died before the failover, only its release proves that its tasks are gone.
            val silentMs = nowMs - maxOf(machine.origin.firstSeenAtMs, startedAtMs)
            if (silentMs > firstHeartbeatLimitMs(machine, zoneUnresponsive)) {
                releases.schedule(machine, nowMs, "in use, but no heartbeat has reached this leader")
            }
            return
        }
        val bootLimitMs = machine.type.bootS * TimeUnits.MS_PER_SECOND * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_MS
        if (nowMs - machine.origin.firstSeenAtMs > bootLimitMs && nowMs - startedAtMs > FleetConstants.BOOT_TIMEOUT_SLACK_MS) {
            releases.schedule(machine, nowMs, "never came up")
        }
    }

    /** Milliseconds within which a machine in use must send this leader its first heartbeat. */
    private fun firstHeartbeatLimitMs(
        machine: Machine,
        zoneUnresponsive: Boolean,
    ): Long =
        when {
            machine.provisional && machine.occupancy.hasAttempts -> cluster.timings.unlistedReleaseMs
            zoneUnresponsive -> FleetConstants.UNRESPONSIVE_ZONE_RELEASE_MS
            machine.origin.isAdopted -> maxOf(cluster.timings.replayedReleaseMs, listing.lagMs())
            else -> cluster.timings.replayedReleaseMs
        }

    private fun checkUnresponsive(
        machine: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        val terminationAtMs = machine.heartbeats.terminationAtMs
        val silentMs = nowMs - machine.lastContactAtMs
        val limitMs = if (zoneUnresponsive) FleetConstants.UNRESPONSIVE_ZONE_RELEASE_MS else cluster.timings.unresponsiveReleaseMs
        when {
            terminationAtMs != null && nowMs > terminationAtMs + cluster.timings.heartbeatTimeoutMs ->
                releases.schedule(machine, nowMs, "termination notice ran out, unresponsive")
            silentMs > limitMs -> releases.schedule(machine, nowMs, "unresponsive for ${seconds(silentMs)} s")
        }
    }

    /**
     * Releases the attempts on [machine] if its lease has expired. They were planned in the incarnation that ended with the lease: a
     * start that is still under way names that incarnation and will be refused.
     */
    private fun checkLease(
        machine: Machine,
        nowMs: Long,
    ) {
        if (!leaseExpired(machine, nowMs)) return
        for (attempt in machine.attempts.toList()) {
            cluster.release(attempt, nowMs, "lease expired, unresponsive for ${seconds(nowMs - machine.lastContactAtMs)} s")
        }
    }

    /**
     * Whether the lease that [machine] had from this leader has certainly expired: the worker has seen a term of this leader, so nobody
     * else can have renewed its lease since, and the last answer that may have renewed it is longer ago than a lease can last.
     */
    fun leaseExpired(
        machine: Machine,
        nowMs: Long,
    ): Boolean = cluster.hasSeenOurToken(machine) && machine.lease.hasExpired(nowMs, cluster.timings.leaseExpiryMs)

    private fun seconds(ms: Long) = ms / TimeUnits.MS_PER_SECOND
}
