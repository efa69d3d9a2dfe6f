package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.DirectCall
import mintfield.core.Tuning
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ReachabilityState
import mintfield.core.model.Order
import mintfield.core.model.Report

/** Starts that are sent straight to workers, so that a task need not wait for its machine's next report. */
class DirectCommands(
    private val cluster: Cluster,
    private val reports: ReportHandler,
    private val log: (String) -> Unit,
) {
    /** Calls in a row, to whatever machines, that got no answer. */
    private var unanswered = 0
    private var pausedUntilMs = Machine.NEVER

    /** Direct calls to make now: starts that were planned since the worker's last report. */
    fun calls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> {
        if (most <= 0 || nowMs < pausedUntilMs) return emptyList()
        // While none gets through each further one would only be in doubt until the term has risen: one is enough to try.
        val lost = unanswered >= Tuning.DIRECT_LOST
        if (lost) pausedUntilMs = nowMs + Tuning.DIRECT_LOST_PAUSE_MS
        val calls = ArrayList<DirectCall>()
        var probes = 0
        for (m in cluster.machines.values) {
            if (calls.size >= if (lost) 1 else most) break
            if (m.state != MachineState.UP || m.directInFlight || nowMs < m.directPausedUntilMs || (m.relayed && !m.parked)) continue
            if (nowMs - m.checkedInAtMs > cluster.timings.freshReportMs || m.unansweredTerm >= cluster.token(m) || !cluster.ownership.mayStart(m.id)) continue
            if (m.hearing.state == ReachabilityState.DEAF) {
                // Each may take its whole time-out; those that have something to start must not wait behind them.
                if (++probes <= PROBES_AT_ONCE && most > cluster.bounds.directCalls / 2) probe(m, nowMs)?.let { calls.add(it) }
                continue
            }
            if (m.count(AttemptState.PLANNED) == 0 || m.attempts.none { it.state == AttemptState.PLANNED && !it.job.withdrawn }) continue
            val address = m.address ?: continue
            val orders = reports.orders(m, checkin = false, nowMs)
            if (orders.none { it is Order.Run }) continue
            m.directInFlight = true
            calls.add(DirectCall(m.id, address, cluster.token(m), m.season, orders))
        }
        return calls
    }

    /** A call without orders, to see whether a deaf machine hears again. As it starts nothing, it need not be fenced. */
    private fun probe(
        m: Machine,
        nowMs: Long,
    ): DirectCall? {
        val address = m.address ?: return null
        m.directInFlight = true
        m.directPausedUntilMs = nowMs + Tuning.DEAF_PROBE_MS
        return DirectCall(m.id, address, cluster.token(m), m.season, emptyList())
    }

    fun answered(
        call: DirectCall,
        report: Report?,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directInFlight = false
        unanswered = 0
        if (report != null && report.machine == m.id) reports.take(m, report, checkin = false, nowMs)
    }

    fun unanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) {
        val m = cluster.machines[call.machine] ?: return
        m.directInFlight = false
        if (call.orders.isEmpty()) return
        if (++unanswered == Tuning.DIRECT_LOST) log("$unanswered direct commands in a row got no answer: starts go with reports")
        m.directPausedUntilMs = nowMs + Tuning.DIRECT_PAUSE_MS
        // The call may be carried out minutes later: until the worker has seen a higher term, absence proves nothing.
        if (sent) m.unansweredTerm = maxOf(m.unansweredTerm, call.term)
        log("no answer from ${m.id} to ${call.orders.size} orders of term ${call.term}; they will go with its next report")
    }

    private companion object {
        /** Deaf machines that are asked in one go. */
        const val PROBES_AT_ONCE = 2
    }
}
