package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.DirectCall
import mintfield.core.constants.WorkerConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ReachabilityState
import mintfield.core.model.Heartbeat
import mintfield.core.model.WorkerCommand

/** Starts that are sent straight to workers, so that a task need not wait for its machine's next heartbeat. */
class DirectCommands(
    private val cluster: Cluster,
    private val heartbeats: HeartbeatReconciler,
    private val log: (String) -> Unit,
) {
    /** Calls in a row, to whatever machines, that got no answer. */
    private var unanswered = 0
    private var pausedUntilMs = Machine.NEVER

    /** Direct calls to make now: starts that were planned since the worker's last heartbeat. */
    fun calls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> {
        if (most <= 0 || nowMs < pausedUntilMs) return emptyList()
        // While none gets through each further one would only be in doubt until the term has risen: one is enough to try.
        val lost = unanswered >= WorkerConstants.DIRECT_PATH_LOST_AFTER
        if (lost) pausedUntilMs = nowMs + WorkerConstants.DIRECT_PATH_PROBE_MS
        val calls = ArrayList<DirectCall>()
        var probes = 0
        for (m in cluster.machines.values) {
            if (calls.size >= if (lost) 1 else most) break
            // Asked first, since it passes over most of thousands of machines.
            if (m.count(AttemptState.PLANNED) == 0 && m.reachability.state != ReachabilityState.UNREACHABLE) continue
            if (m.state != MachineState.UP || m.directRoute.inFlight || nowMs < m.directRoute.pausedUntilMs || m.directRoute.isUnlikely) continue
            if (nowMs - m.heartbeats.lastUnpromptedAtMs > cluster.timings.heartbeatTimeoutMs ||
                m.lease.unacknowledgedTerm >= cluster.token(m) ||
                !cluster.ownership.mayStart(m.id)
            ) {
                continue
            }
            if (m.reachability.state == ReachabilityState.UNREACHABLE) {
                // Each may take its whole time-out; those that have something to start must not wait behind them.
                if (++probes <= PROBES_AT_ONCE && most > cluster.bounds.directCalls / 2) probe(m, nowMs)?.let { calls.add(it) }
                continue
            }
            if (m.attempts.none { it.state == AttemptState.PLANNED && !it.job.cancelled }) continue
            val address = m.heartbeats.address ?: continue
            val commands = heartbeats.commands(m, viaHeartbeat = false, nowMs)
            if (commands.none { it is WorkerCommand.Start }) continue
            m.directRoute.callStarted()
            calls.add(DirectCall(m.id, address, cluster.token(m), m.incarnation, commands))
        }
        return calls
    }

    /** A call without orders, to see whether a unreachable machine hears again. As it starts nothing, it need not be fenced. */
    private fun probe(
        m: Machine,
        nowMs: Long,
    ): DirectCall? {
        val address = m.heartbeats.address ?: return null
        m.directRoute.callStarted()
        m.directRoute.pauseUntil(nowMs + WorkerConstants.UNREACHABLE_PROBE_MS)
        return DirectCall(m.id, address, cluster.token(m), m.incarnation, emptyList())
    }

    fun answered(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directRoute.callEnded()
        unanswered = 0
        if (heartbeat != null && heartbeat.machine == m.id) heartbeats.take(m, heartbeat, viaHeartbeat = false, nowMs)
    }

    fun unanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directRoute.callEnded()
        if (call.commands.isEmpty()) return
        if (++unanswered ==
            WorkerConstants.DIRECT_PATH_LOST_AFTER
        ) {
            log("$unanswered direct commands in a row got no answer: starts go with heartbeat responses")
        }
        m.directRoute.pauseUntil(nowMs + WorkerConstants.DIRECT_COMMAND_BACKOFF_MS)
        // The call may be carried out minutes later: until the worker has seen a higher term, absence proves nothing.
        if (sent) m.lease.recordUnacknowledged(call.term)
        log("no answer from ${m.id} to ${call.commands.size} commands of term ${call.term}; they go with its next heartbeat response")
    }

    private companion object {
        /** Deaf machines that are asked in one go. */
        const val PROBES_AT_ONCE = 2
    }
}
