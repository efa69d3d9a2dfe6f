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
 * Decides on direct calls: starts that are sent straight to workers, so that a task need not wait for the next heartbeat of its
 * machine, and probes of unreachable machines.
 *
 * Not thread-safe, like the [Cluster] that it works on.
 */
class DirectCommands(
    private val cluster: Cluster,
    private val reconciler: HeartbeatReconciler,
    private val commandPlanner: CommandPlanner,
    private val log: (String) -> Unit,
) {
    /** Consecutive calls, to whatever machines, that got no response. */
    private var unanswered = 0
    private var pausedUntilMs = Machine.NEVER

    /** At most [most] calls to make now. Each is to be followed by one call of [answered] or [unanswered]. */
    fun calls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> {
        if (most <= 0 || nowMs < pausedUntilMs) return emptyList()
        // While no call gets through, each further one would only leave a start in doubt until the term has risen: one probe suffices.
        val pathLost = unanswered >= WorkerConstants.DIRECT_PATH_LOST_AFTER
        if (pathLost) pausedUntilMs = nowMs + WorkerConstants.DIRECT_PATH_PROBE_MS
        val limit = if (pathLost) 1 else most
        // A probe may take its whole timeout, and must not keep machines waiting that have something to start.
        var probesLeft = if (most > cluster.connectionLimits.directCalls / 2) MAX_CONCURRENT_PROBES else 0
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

    /** Asked first, since it passes over most of thousands of machines. */
    private fun hasReasonToCall(machine: Machine): Boolean =
        machine.count(AttemptState.PLANNED) > 0 || machine.reachability.state == ReachabilityState.UNREACHABLE

    private fun mayCall(
        machine: Machine,
        nowMs: Long,
    ): Boolean =
        machine.state == MachineState.UP &&
            !isCallPending(machine, nowMs) &&
            isDirectRouteLikely(machine, nowMs) &&
            machine.lease.unacknowledgedTerm < cluster.token(machine) &&
            cluster.ownership.mayStart(machine.id)

    private fun isCallPending(
        machine: Machine,
        nowMs: Long,
    ): Boolean = machine.directRoute.inFlight || nowMs < machine.directRoute.pausedUntilMs

    private fun isDirectRouteLikely(
        machine: Machine,
        nowMs: Long,
    ): Boolean = !machine.directRoute.isUnlikely && nowMs - machine.heartbeats.lastUnpromptedAtMs <= cluster.timings.heartbeatTimeoutMs

    /** A call with the starts planned since the worker's last heartbeat, and the stops that make room for them; null without starts. */
    private fun startCall(
        machine: Machine,
        nowMs: Long,
    ): DirectCall? {
        if (machine.attempts.none { it.state == AttemptState.PLANNED && !it.job.cancelled }) return null
        val address = machine.heartbeats.address ?: return null
        val commands = commandPlanner.commands(machine, viaHeartbeat = false, nowMs)
        if (commands.none { it is WorkerCommand.Start }) return null
        machine.directRoute.callStarted()
        return DirectCall(machine.id, address, cluster.token(machine), machine.incarnation, commands)
    }

    /** A call without commands, to find out whether an unreachable machine can be reached again. As it starts nothing, it needs no fencing. */
    private fun probe(
        machine: Machine,
        nowMs: Long,
    ): DirectCall? {
        val address = machine.heartbeats.address ?: return null
        machine.directRoute.callStarted()
        machine.directRoute.pauseUntil(nowMs + WorkerConstants.UNREACHABLE_PROBE_MS)
        return DirectCall(machine.id, address, cluster.token(machine), machine.incarnation, emptyList())
    }

    /** The worker has responded to [call], with its [heartbeat] if the response could be read. */
    fun answered(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) {
        val machine = cluster.machines[call.machine] ?: return
        machine.directRoute.callEnded()
        unanswered = 0
        if (heartbeat != null && heartbeat.machine == machine.id) reconciler.reconcile(machine, heartbeat, viaHeartbeat = false, nowMs)
    }

    /** There was no response to [call]. [sent]: it may have left this controller, and may yet be carried out. */
    fun unanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) {
        val machine = cluster.machines[call.machine] ?: return
        machine.directRoute.callEnded()
        if (call.commands.isEmpty()) return
        unanswered++
        if (unanswered == WorkerConstants.DIRECT_PATH_LOST_AFTER) {
            log("$unanswered direct commands in a row got no answer: starts go with heartbeat responses")
        }
        machine.directRoute.pauseUntil(nowMs + WorkerConstants.DIRECT_COMMAND_BACKOFF_MS)
        // The call may be carried out minutes later: until the worker has seen a higher term, absence proves nothing.
        if (sent) machine.lease.recordUnacknowledged(call.term)
        log("no answer from ${machine.id} to ${call.commands.size} commands of term ${call.term}; they go with its next heartbeat response")
    }

    private companion object {
        /** Unreachable machines that are probed at once. */
        const val MAX_CONCURRENT_PROBES = 2
    }
}
