package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.AttemptState

/**
 * Applies the time limits of machines: heartbeat timeouts, lease expiry, and the release of machines that do not boot, stay unresponsive,
 * are unreachable or fail their tasks.
 */
class MachineWatch(
    private val cluster: Cluster,
    private val releases: MachineReleases,
    private val listing: CloudListing,
) {
    private var startedAtMs = Machine.NEVER

    /** Applies all time limits to all machines. */
    fun check(nowMs: Long) {
        if (startedAtMs == Machine.NEVER) startedAtMs = nowMs
        val unresponsiveZones = unresponsiveZones(nowMs)
        val releasesUnreachable = releasesUnreachable()
        for (machine in cluster.machines.values.toList()) {
            if (machine.state == MachineState.UP && releasesUnreachable) checkReachability(machine, nowMs)
            when (machine.state) {
                MachineState.PROVISIONING -> checkProvisioning(machine, nowMs, machine.zone in unresponsiveZones)
                MachineState.UP -> if (isHeartbeatOverdue(machine, nowMs)) machine.moveTo(MachineState.UNRESPONSIVE, nowMs)
                MachineState.UNRESPONSIVE -> checkUnresponsive(machine, nowMs, machine.zone in unresponsiveZones)
                else -> {}
            }
            if (machine.occupancy.hasAttempts && machine.state != MachineState.OWNED_ELSEWHERE) checkLease(machine, nowMs)
            if (machine.state == MachineState.UP && isFaulty(machine.failureRecord)) releases.schedule(machine, nowMs, "its tasks fail")
        }
    }

    private fun isHeartbeatOverdue(
        machine: Machine,
        nowMs: Long,
    ) = nowMs - machine.lastContactAtMs > cluster.timings.heartbeatTimeoutMs

    private fun isFaulty(failures: FailureRecord) =
        failures.attributedFailures >= PlacementConstants.QUARANTINE_FAILURES || failures.suspectJobs >= PlacementConstants.RELEASE_SUSPECT_JOBS

    /** Zones in which most machines are unresponsive, as after a partition. Machines that have never been up do not count. */
    private fun unresponsiveZones(nowMs: Long): Set<String> {
        val unresponsive = HashMap<String, Int>()
        val all = HashMap<String, Int>()
        for (machine in cluster.machines.values) {
            val neverUp = machine.lastContactAtMs == Machine.NEVER && !machine.occupancy.hasAttempts
            if (machine.state == MachineState.OWNED_ELSEWHERE || neverUp) continue
            all.merge(machine.zone, 1, Int::plus)
            if (isHeartbeatOverdue(machine, nowMs)) unresponsive.merge(machine.zone, 1, Int::plus)
        }
        return unresponsive.keys.filterTo(HashSet()) { unresponsive.getValue(it) > FleetConstants.UNRESPONSIVE_ZONE_FRACTION * all.getValue(it) }
    }

    /** Whether unreachable machines may be released: if many are unreachable at once, the cause is the network and not the machines. */
    private fun releasesUnreachable(): Boolean {
        val unreachable = cluster.machines.values.count { it.state == MachineState.UP && it.reachability.state == ReachabilityState.UNREACHABLE }
        val fractionOfFleet = (cluster.machines.size * WorkerConstants.MAX_ATTRIBUTED_UNREACHABLE_FRACTION).toInt()
        return unreachable <= maxOf(WorkerConstants.MAX_ATTRIBUTED_UNREACHABLE, fractionOfFleet)
    }

    /** Releases a machine that sends heartbeats but is unreachable for too long, or has not stopped a task within the limit. */
    private fun checkReachability(
        machine: Machine,
        nowMs: Long,
    ) {
        val reachability = machine.reachability
        if (reachability.state == ReachabilityState.UNREACHABLE && nowMs - reachability.sinceMs > WorkerConstants.UNREACHABLE_RELEASE_MS) {
            return releases.schedule(machine, nowMs, "unreachable for ${seconds(nowMs - reachability.sinceMs)} s")
        }
        val limitMs = cluster.settings.cancelS * TimeUnits.MS_PER_SECOND * WorkerConstants.CANCEL_RELEASE_FRACTION
        val foreign = if (machine.occupancy.hasForeignTasks) machine.foreignTasks.findUnstopped(nowMs - limitMs.toLong()) else null
        if (foreign != null) return releases.schedule(machine, nowMs, "${foreign.status.task} of another shard has not stopped within the limit")
        if (machine.count(AttemptState.STOPPING) == 0) return
        val attempt = machine.attempts.firstOrNull { it.state == AttemptState.STOPPING && it.job.cancelled && nowMs - it.changedAtMs > limitMs }
        if (attempt != null) releases.schedule(machine, nowMs, "${attempt.job.spec.id}/${attempt.index} is cancelled and has not stopped within the limit")
    }

    private fun checkProvisioning(
        machine: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        if (machine.occupancy.hasAttempts || machine.origin.isAdopted) {
            // A machine that a plan names has been up. If it failed before the failover, only its release proves that its tasks have ended.
            val waitedMs = nowMs - maxOf(machine.origin.firstSeenAtMs, startedAtMs)
            if (waitedMs > firstHeartbeatLimitMs(machine, zoneUnresponsive)) {
                releases.schedule(machine, nowMs, "in use, but no heartbeat has reached this leader")
            }
            return
        }
        val bootLimitMs = machine.type.bootS * TimeUnits.MS_PER_SECOND * FleetConstants.BOOT_TIMEOUT_FACTOR + FleetConstants.BOOT_TIMEOUT_SLACK_MS
        if (nowMs - machine.origin.firstSeenAtMs > bootLimitMs && nowMs - startedAtMs > FleetConstants.BOOT_TIMEOUT_SLACK_MS) {
            releases.schedule(machine, nowMs, "no heartbeat within the boot timeout")
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
            machine.origin.isAdopted -> maxOf(cluster.timings.replayedReleaseMs, listing.maxLagMs())
            else -> cluster.timings.replayedReleaseMs
        }

    private fun checkUnresponsive(
        machine: Machine,
        nowMs: Long,
        zoneUnresponsive: Boolean,
    ) {
        val terminationAtMs = machine.heartbeats.terminationAtMs
        val unresponsiveMs = nowMs - machine.lastContactAtMs
        val limitMs = if (zoneUnresponsive) FleetConstants.UNRESPONSIVE_ZONE_RELEASE_MS else cluster.timings.unresponsiveReleaseMs
        when {
            terminationAtMs != null && nowMs > terminationAtMs + cluster.timings.heartbeatTimeoutMs ->
                releases.schedule(machine, nowMs, "termination notice expired, unresponsive")
            unresponsiveMs > limitMs -> releases.schedule(machine, nowMs, "unresponsive for ${seconds(unresponsiveMs)} s")
        }
    }

    /**
     * Releases the attempts on [machine] if its lease has expired. They were planned for the incarnation that ended with the lease: a start
     * command that is still in flight names that incarnation and will be refused.
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
     * Whether the lease that this leader granted to [machine] is known to have expired: the worker has seen a term of this leader, so no other
     * leader can have renewed the lease since, and the last response that may have renewed it is older than the longest lease duration.
     */
    fun leaseExpired(
        machine: Machine,
        nowMs: Long,
    ): Boolean = cluster.hasSeenOurToken(machine) && machine.lease.hasExpired(nowMs, cluster.timings.leaseExpiryMs)

    private fun seconds(ms: Long) = ms / TimeUnits.MS_PER_SECOND
}
