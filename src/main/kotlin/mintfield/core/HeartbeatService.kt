package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.CommandPlanner
import mintfield.core.jobs.HeartbeatReconciler
import mintfield.core.leadership.LeaseRenewalLimit
import mintfield.core.model.Heartbeat
import mintfield.core.model.TaskState
import mintfield.core.model.WorkerCommand

/**
 * Decides the response to a worker's heartbeat: whether this leader may respond with commands (ownership, fencing token, zone
 * fence, lease renewal limit), and with which.
 */
internal class HeartbeatService(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val reconciler: HeartbeatReconciler,
    private val commandPlanner: CommandPlanner,
    private val cancellations: KnownCancellations,
    private val replay: LeaderReplay,
) {
    private val ownership = cluster.ownership
    private val leaseRenewalLimit = LeaseRenewalLimit(cluster.settings)

    /** Machines whose leases were renewed before the end of the replay. [lastFirstHeartbeatAtMs] is the time of the last new entry. */
    private val renewedDuringReplay = HashSet<String>()
    private var lastFirstHeartbeatAtMs = Machine.NEVER

    /** Whether a worker has recently sent its first heartbeat since the election. The replay must not delay such heartbeats until leases expire. */
    fun receivesFirstHeartbeats(nowMs: Long): Boolean = nowMs - lastFirstHeartbeatAtMs < LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS

    /**
     * Applies [heartbeat] to the leader's state and returns the response. If [mayAct] is false, the leader's lease may have
     * expired: the response then renews the worker's lease, if that is safe, but starts nothing. This leader knows all cancellations
     * confirmed to users before [cancellationsToMs].
     */
    fun respond(
        heartbeat: Heartbeat,
        mayAct: Boolean,
        nowMs: Long,
        relayed: Boolean,
        viaRelayPeer: Boolean,
        cancellationsToMs: Long,
    ): HeartbeatResponse {
        if (!ownership.owns(heartbeat.machine)) return HeartbeatResponse.NotOwner
        if (heartbeat.termSeen > cluster.tokens.highest(heartbeat.machine)) return HeartbeatResponse.Deposed
        if (!zoneFencing.mayRespondTo(heartbeat.machine)) return HeartbeatResponse.ZoneFenced
        val mayRenew = leaseRenewalLimit.allows(nowMs - cancellationsToMs)
        if (!replay.isComplete) return respondDuringReplay(heartbeat, mayRenew, nowMs)
        val machine = knownMachine(heartbeat, nowMs) ?: return if (mayRenew) stopsOnly(heartbeat) else HeartbeatResponse.RenewalRefused
        machine.directRoute.recordHeartbeat(relayed, viaRelayPeer)
        recordBootTime(machine, heartbeat, nowMs)
        return respond(machine, heartbeat, mayAct, mayRenew, nowMs)
    }

    private fun respondDuringReplay(
        heartbeat: Heartbeat,
        mayRenew: Boolean,
        nowMs: Long,
    ): HeartbeatResponse {
        if (!mayRenew) return HeartbeatResponse.RenewalRefused
        knownMachine(heartbeat, nowMs)?.lease?.renew(nowMs)
        if (renewedDuringReplay.add(heartbeat.machine)) lastFirstHeartbeatAtMs = nowMs
        return stopsOnly(heartbeat)
    }

    private fun respond(
        machine: Machine,
        heartbeat: Heartbeat,
        mayAct: Boolean,
        mayRenew: Boolean,
        nowMs: Long,
    ): HeartbeatResponse {
        val isNewest = reconciler.reconcile(machine, heartbeat, viaHeartbeat = true, nowMs)
        if (!mayRenew || (!mayAct && reconciler.mayStartCancelled(machine, heartbeat))) return HeartbeatResponse.RenewalRefused
        machine.lease.renew(nowMs)
        if (!isNewest || !mayAct) return stopsOnly(heartbeat)
        // The planner may raise the token, and the commands rely on the higher one.
        val commands = commandPlanner.commands(machine, viaHeartbeat = true, nowMs)
        return HeartbeatResponse.Commands(cluster.tokens.of(machine), commands)
    }

    /**
     * Returns a response that renews the lease and whose only commands stop tasks of cancelled jobs. Cancellation is final, so these
     * stops are correct at any time and from any leader, even one whose lease has expired.
     */
    private fun stopsOnly(heartbeat: Heartbeat): HeartbeatResponse =
        HeartbeatResponse.Commands(
            token(heartbeat),
            heartbeat.tasks
                .filter { it.state != TaskState.ENDED && cancellations.isKnown(it.task.job) }
                .map { WorkerCommand.Stop(it.task, it.attempt, 0.0) },
        )

    /** The fencing token of responses to [heartbeat] without commands that depend on its height. */
    private fun token(heartbeat: Heartbeat): Long {
        val machine = cluster.machines[heartbeat.machine]
        return if (machine == null) maxOf(heartbeat.termSeen, cluster.firstTerm, ownership.epoch(heartbeat.machine)) else cluster.tokens.of(machine)
    }

    private fun knownMachine(
        heartbeat: Heartbeat,
        nowMs: Long,
    ): Machine? {
        val known = fleet.registry.getOrAdd(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, nowMs) ?: return null
        val machine = if (known.provisional) fleet.registry.redescribe(known, heartbeat.type, heartbeat.zone, heartbeat.spot, nowMs) else known
        // This leader may have issued the seen token before it lost the machine's state, and may not have applied the machine's epoch yet.
        machine?.lease?.raiseToken(maxOf(heartbeat.termSeen, ownership.epoch(heartbeat.machine)))
        return machine
    }

    private fun recordBootTime(
        machine: Machine,
        heartbeat: Heartbeat,
        nowMs: Long,
    ) {
        val isFirstHeartbeat = heartbeat.incarnation == 1L && heartbeat.termSeen == 0L
        if (machine.state != MachineState.PROVISIONING || !isFirstHeartbeat) return
        fleet.bootTimes.recordBoot(machine, nowMs - machine.origin.firstSeenAtMs, nowMs)
    }
}
