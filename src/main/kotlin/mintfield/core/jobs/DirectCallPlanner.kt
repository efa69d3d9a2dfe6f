package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.DirectCall
import mintfield.core.constants.WorkerConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ReachabilityState
import mintfield.core.model.Heartbeat
import mintfield.core.model.WorkerCommand

/**
 * Decides on direct calls to workers: starts that do not wait for the next heartbeat of their machine, and probes of unreachable
 * machines.
 *
 * Not thread-safe, like [Cluster].
 */
class DirectCallPlanner(
    private val cluster: Cluster,
    private val reconciler: HeartbeatReconciler,
    private val commandPlanner: CommandPlanner,
    private val log: (String) -> Unit,
) {
    /** Consecutive calls with commands, to any machines, that got no response. */
    private var consecutiveUnanswered = 0
    private var pausedUntilMs = Machine.NEVER

    /** The calls to make now, at most [maxCalls]. The caller must pass each of them to [onResponse] or [onNoResponse] once. */
    fun calls(
        nowMs: Long,
        maxCalls: Int,
    ): List<DirectCall> {
        if (maxCalls <= 0 || nowMs < pausedUntilMs) return emptyList()
        // While no call gets a response, each further one would add starts of unknown outcome until the term is raised: one probe is enough.
        val pathLost = consecutiveUnanswered >= WorkerConstants.DIRECT_PATH_LOST_AFTER
        if (pathLost) pausedUntilMs = nowMs + WorkerConstants.DIRECT_PATH_PROBE_MS
        val limit = if (pathLost) 1 else maxCalls
        // A probe may last until its timeout, and must not delay calls to machines that have tasks to start.
        var probesLeft = if (maxCalls > cluster.connectionLimits.directCalls / 2) MAX_CONCURRENT_PROBES else 0
        val calls = ArrayList<DirectCall>()
        for (machine in cluster.machines.values) {
            if (calls.size >= limit) break
            if (!hasReasonToCall(machine) || !mayCall(machine, nowMs)) continue
            val call =
                when {
                    machine.reachability.state != ReachabilityState.UNREACHABLE -> startCall(machine, nowMs)
                    probesLeft-- > 0 -> probe(machine, nowMs)
                    else -> null
                }
            if (call != null) calls.add(call)
        }
        return calls
    }

    /** Cheap check that excludes most of the thousands of machines; evaluated first. */
    private fun hasReasonToCall(machine: Machine): Boolean =
        machine.count(AttemptState.PLANNED) > 0 || machine.reachability.state == ReachabilityState.UNREACHABLE

    private fun mayCall(
        machine: Machine,
        nowMs: Long,
    ): Boolean =
        machine.state == MachineState.UP &&
            !isCallPending(machine, nowMs) &&
            isDirectRouteLikely(machine, nowMs) &&
            !machine.lease.hasUnansweredStart &&
            cluster.ownership.mayStart(machine.id)

    private fun isCallPending(
        machine: Machine,
        nowMs: Long,
    ): Boolean = machine.directRoute.inFlight || nowMs < machine.directRoute.pausedUntilMs

    private fun isDirectRouteLikely(
        machine: Machine,
        nowMs: Long,
    ): Boolean = !machine.directRoute.isLikelyUnusable && nowMs - machine.heartbeats.lastUnpromptedAtMs <= cluster.timings.heartbeatTimeoutMs

    /** A call with the starts planned since the worker's last heartbeat and the stops that free capacity for them; null without starts. */
    private fun startCall(
        machine: Machine,
        nowMs: Long,
    ): DirectCall? {
        if (machine.attempts.none { it.state == AttemptState.PLANNED && it.mayStart }) return null
        val address = machine.heartbeats.address ?: return null
        val commands = commandPlanner.commands(machine, viaHeartbeat = false, nowMs)
        val starts = commands.filterIsInstance<WorkerCommand.Start>()
        if (starts.isEmpty()) return null
        machine.directRoute.callStarted()
        val call = DirectCall(machine.id, address, cluster.tokens.of(machine), machine.incarnation, commands)
        machine.lease.recordDirectStart(call.term)
        logStarts(call, starts)
        return call
    }

    private fun logStarts(
        call: DirectCall,
        starts: List<WorkerCommand.Start>,
    ) {
        cluster.commandCounters.directStartsSent(starts.size)
        val named = starts.take(MAX_LOGGED_STARTS).joinToString { "${it.task} attempt ${it.attempt}" }
        log("${call.machine}: starting ${starts.size} tasks directly, token ${call.term}, incarnation ${call.incarnation}: $named")
    }

    /** A call without commands that tests whether an unreachable machine can be reached again. It starts nothing and needs no fencing. */
    private fun probe(
        machine: Machine,
        nowMs: Long,
    ): DirectCall? {
        val address = machine.heartbeats.address ?: return null
        machine.directRoute.callStarted()
        machine.directRoute.pauseUntil(nowMs + WorkerConstants.UNREACHABLE_PROBE_MS)
        return DirectCall(machine.id, address, cluster.tokens.of(machine), machine.incarnation, emptyList())
    }

    /** Handles the response of the worker to [call]; [heartbeat] is null if the response could not be decoded. */
    fun onResponse(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) {
        val machine = cluster.machines[call.machine] ?: return
        machine.directRoute.callEnded()
        consecutiveUnanswered = 0
        if (heartbeat != null && heartbeat.machine == machine.id) reconciler.reconcile(machine, heartbeat, viaHeartbeat = false, nowMs)
    }

    /** Handles a [call] without a response. [sent]: whether it may have left this controller, and may still be carried out. */
    fun onNoResponse(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) {
        val machine = cluster.machines[call.machine] ?: return
        machine.directRoute.callEnded()
        if (call.commands.isEmpty()) return
        consecutiveUnanswered++
        if (consecutiveUnanswered == WorkerConstants.DIRECT_PATH_LOST_AFTER) {
            log("$consecutiveUnanswered consecutive direct calls got no response: starts are sent with heartbeat responses")
        }
        machine.directRoute.pauseUntil(nowMs + WorkerConstants.DIRECT_CALL_BACKOFF_MS)
        // The call may be carried out minutes later: until the worker has seen a higher term, the absence of a task proves nothing.
        if (sent) machine.lease.recordUnacknowledged(call.term)
        log("${machine.id}: no response to ${call.commands.size} commands of term ${call.term}; they are sent with its next heartbeat response")
    }

    private companion object {
        /** Maximum number of unreachable machines probed per call of [calls]. */
        const val MAX_CONCURRENT_PROBES = 2

        /** Maximum number of starts named in one log line. */
        const val MAX_LOGGED_STARTS = 3
    }
}
