package mintfield.core.fleet

import mintfield.core.Tuning
import mintfield.core.jobs.Attempt
import mintfield.core.model.Report

enum class ReachabilityState {
    /** Nothing speaks against it. */
    HEARS,

    /** The last answer seems not to have come through; that happens now and then. */
    DOUBTFUL,

    /** Several in a row have not. It is planned nothing, and called from time to time to see if it hears again. */
    DEAF,
}

/**
 * Whether a machine hears what it is told. One whose reports come but which no answer reaches looks alive, takes plans,
 * starts none of them and loses its tasks with each lease. It shows by what its reports lack: the term and the starts of
 * the answer before, or a lease that ran out although each report was answered.
 */
class Reachability {
    var state = ReachabilityState.HEARS
        private set

    /** Steady milliseconds; when it became deaf. */
    var sinceMs = 0L
        private set

    /** Times that it was deaf; each makes the pause after it longer. */
    var times = 0
        private set

    private var toldTerm = NOTHING
    private var toldRuns: List<Attempt> = emptyList()
    private var seasonSinceMs = 0L
    private var missed = 0

    val sure: Boolean get() = state == ReachabilityState.HEARS

    /** The only place where the state changes; true if it did. */
    private fun moveTo(
        next: ReachabilityState,
        nowMs: Long,
    ): Boolean {
        if (next == state) return false
        if (next == ReachabilityState.DEAF) {
            sinceMs = nowMs
            times++
        }
        state = next
        return true
    }

    /** A check-in was answered with [term] and starts of [runs]. */
    fun told(
        term: Long,
        runs: List<Attempt>,
    ) {
        toldTerm = term
        toldRuns = runs
    }

    /** A check-in, newer than all before, of machine [m] as it was known until now; true if the state changes. */
    fun checkin(
        m: Machine,
        report: Report,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val answered = toldTerm != NOTHING
        val term = toldTerm
        val runs = toldRuns
        toldTerm = NOTHING
        toldRuns = emptyList()
        if (report.season != m.season) {
            // A machine that hung reports nothing meanwhile; one that went on reporting has lost its lease unheard.
            val reported = answered && m.season != 0L && nowMs - m.heardAtMs < leaseMs * REPORTING_SHARE
            seasonSinceMs = nowMs
            return if (reported) miss(Tuning.DEAF_ANSWERS, nowMs) else false
        }
        val kept = seasonSinceMs > 0 && nowMs - seasonSinceMs > leaseMs
        if (!answered) return false
        val started =
            runs.isEmpty() || report.tasks.any { t -> runs.any { it.index == t.task.index && it.number == t.attempt && it.job.spec.id == t.task.job } }
        if (report.termSeen < term || !started) return miss(1, nowMs)
        // That nothing is missed proves something only if there was something to miss, or if its lease goes on.
        return if (runs.isNotEmpty() || report.termSeen > m.termSeen || kept || state == ReachabilityState.DOUBTFUL) heard(nowMs) else false
    }

    private fun miss(
        weight: Int,
        nowMs: Long,
    ): Boolean {
        missed += weight
        return moveTo(if (missed >= Tuning.DEAF_ANSWERS) ReachabilityState.DEAF else ReachabilityState.DOUBTFUL, nowMs)
    }

    /** Something that was sent to the machine has had its effect there. */
    fun heard(nowMs: Long): Boolean {
        missed = 0
        return moveTo(ReachabilityState.HEARS, nowMs)
    }

    private companion object {
        const val NOTHING = -1L

        /** Share of the lease within which its last report must lie for the machine to have gone on reporting. */
        const val REPORTING_SHARE = 0.7
    }
}
