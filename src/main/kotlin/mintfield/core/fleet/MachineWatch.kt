package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.Tuning
import mintfield.core.jobs.AttemptState

/** Looks at the clock for each machine: silence, leases that have certainly ended, machines that never come up or fail what they get. */
class MachineWatch(
    private val cluster: Cluster,
    private val condemn: (Machine, Long, String) -> Unit,
    private val listLagMs: () -> Long,
) {
    private var startedAtMs = Machine.NEVER

    /** Looks at all machines. */
    fun look(nowMs: Long) {
        if (startedAtMs == Machine.NEVER) startedAtMs = nowMs
        val silentByZone = HashMap<String, Int>()
        val byZone = HashMap<String, Int>()
        for (m in cluster.machines.values) {
            if (m.state == MachineState.AWAY || (m.heardAtMs == Machine.NEVER && m.attempts.isEmpty())) continue
            byZone.merge(m.zone, 1, Int::plus)
            if (nowMs - m.heardAtMs > cluster.timings.freshReportMs) silentByZone.merge(m.zone, 1, Int::plus)
        }
        val deaf = cluster.machines.values.count { it.state == MachineState.UP && it.hearing.state == ReachabilityState.DEAF }
        // Many at once speak of the network, not of the machines.
        val returnDeaf = deaf <= maxOf(Tuning.DEAF_FEW, (cluster.machines.size * Tuning.DEAF_SHARE).toInt())
        for (m in cluster.machines.values.toList()) {
            if (m.state == MachineState.UP) unheard(m, returnDeaf, nowMs)
            when (m.state) {
                MachineState.AWAITED -> awaited(m, nowMs, (silentByZone[m.zone] ?: 0) > Tuning.SILENT_ZONE_SHARE * (byZone[m.zone] ?: 1))
                MachineState.UP -> if (nowMs - m.heardAtMs > cluster.timings.freshReportMs) m.moveTo(MachineState.SILENT, nowMs)
                MachineState.SILENT -> silent(m, nowMs, (silentByZone[m.zone] ?: 0) > Tuning.SILENT_ZONE_SHARE * (byZone[m.zone] ?: 1))
                else -> {}
            }
            expire(m, nowMs)
            val sick = m.blamed >= Tuning.SICK_FAILURES || m.suspects.size >= Tuning.SICK_SUSPECTS
            if (m.state == MachineState.UP && sick) {
                condemn(m, nowMs, "it fails what it is given")
            }
        }
    }

    /** A machine that reports but does not hear is returned if that lasts, or if it holds what must not run any more. */
    private fun unheard(
        m: Machine,
        returnDeaf: Boolean,
        nowMs: Long,
    ) {
        if (!returnDeaf) return
        if (m.hearing.state == ReachabilityState.DEAF && nowMs - m.hearing.sinceMs > Tuning.DEAF_RETURN_MS) {
            return condemn(m, nowMs, "it has not heard us for ${(nowMs - m.hearing.sinceMs) / 1000} s")
        }
        val limit = cluster.settings.cancelS * 1000 * Tuning.CANCEL_SHARE
        m.guests.unstopped(nowMs - limit.toLong())?.let { return condemn(m, nowMs, "${it.reported.task} of another share does not stop there") }
        if (m.count(AttemptState.STOPPING) == 0) return
        m.attempts.firstOrNull { it.state == AttemptState.STOPPING && it.job.withdrawn && nowMs - it.changedAtMs > limit }?.let {
            condemn(m, nowMs, "${it.job.spec.id}/${it.index} is withdrawn and does not stop there")
        }
    }

    private fun awaited(
        m: Machine,
        nowMs: Long,
        zoneSilent: Boolean,
    ) {
        // What a plan names was up once. If it died before the take-over, only its return proves that its tasks are gone.
        if (m.attempts.isNotEmpty() || m.adoptedAtMs != Machine.NEVER) {
            val limit =
                when {
                    m.guessed && m.attempts.isNotEmpty() -> cluster.timings.unlistedReturnMs
                    zoneSilent -> Tuning.SILENT_ZONE_RETURN_MS
                    m.adoptedAtMs != Machine.NEVER -> maxOf(cluster.timings.replayedReturnMs, listLagMs())
                    else -> cluster.timings.replayedReturnMs
                }
            if (nowMs - maxOf(m.firstSeenAtMs, startedAtMs) > limit) condemn(m, nowMs, "it was in use and has not reported to this leader")
            return
        }
        val patience = m.type.bootS * 1000 * Tuning.BOOT_PATIENCE + Tuning.BOOT_PATIENCE_MS
        if (nowMs - m.firstSeenAtMs > patience && nowMs - startedAtMs > Tuning.BOOT_PATIENCE_MS) condemn(m, nowMs, "it never came up")
    }

    private fun silent(
        m: Machine,
        nowMs: Long,
        zoneSilent: Boolean,
    ) {
        val taken = m.takenAtMs
        val limit = if (zoneSilent) Tuning.SILENT_ZONE_RETURN_MS else cluster.timings.silentReturnMs
        when {
            taken != null && nowMs > taken + cluster.timings.freshReportMs -> condemn(m, nowMs, "its notice has run out and it is silent")
            nowMs - m.heardAtMs > limit -> condemn(m, nowMs, "silent for ${(nowMs - m.heardAtMs) / 1000} s")
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
        if (m.attempts.isEmpty() || m.state == MachineState.AWAY || !leaseEnded(m, nowMs)) return
        for (a in m.attempts.toList()) {
            // Planned in the season that has ended: a start still under way names that season and is refused.
            cluster.release(a, nowMs, "lease expired, silent for ${(nowMs - m.heardAtMs) / 1000} s")
        }
    }

    /** Whether the lease that [m] had from this leader has certainly ended. */
    fun leaseEnded(
        m: Machine,
        nowMs: Long,
    ) = cluster.heardOurs(m) && m.answeredAtMs != Machine.NEVER && nowMs - m.answeredAtMs > cluster.timings.leaseEndedMs
}
