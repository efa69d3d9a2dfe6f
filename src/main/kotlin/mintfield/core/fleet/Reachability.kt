package mintfield.core.fleet

import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.Attempt
import mintfield.core.model.Heartbeat

enum class ReachabilityState {
    /** Nothing speaks against it. */
    REACHABLE,

    /** The last answer seems not to have come through; that happens now and then. */
    SUSPECT,

    /** Several in a row have not. It is planned nothing, and called from time to time to see if it hears again. */
    UNREACHABLE,
}

/**
 * Whether a machine hears what it is told. One whose heartbeats come but which no answer reaches looks alive, takes plans,
 * starts none of them and loses its tasks with each lease. It shows by what its heartbeats lack: the term and the starts of
 * the answer before, or a lease that ran out although each heartbeat was answered.
 */
class Reachability {
    var state = ReachabilityState.REACHABLE
        private set

    /** Steady milliseconds; when it became unreachable. */
    var sinceMs = 0L
        private set

    /** Times that it was unreachable; each makes the pause after it longer. */
    var episodes = 0
        private set

    private var answeredTerm = NOTHING
    private var answeredStarts: List<Attempt> = emptyList()
    private var incarnationSinceMs = 0L
    private var missed = 0

    val isReachable: Boolean get() = state == ReachabilityState.REACHABLE

    /** The only place where the state changes; true if it did. */
    private fun moveTo(
        next: ReachabilityState,
        nowMs: Long,
    ): Boolean {
        if (next == state) return false
        if (next == ReachabilityState.UNREACHABLE) {
            sinceMs = nowMs
            episodes++
        }
        state = next
        return true
    }

    /** A heartbeat was answered with [term] and starts of [runs]. */
    fun recordAnswer(
        term: Long,
        runs: List<Attempt>,
    ) {
        answeredTerm = term
        answeredStarts = runs
    }

    /** A heartbeat, newer than all before, of machine [m] as it was known until now; true if the state changes. */
    fun onHeartbeat(
        m: Machine,
        heartbeat: Heartbeat,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val answered = answeredTerm != NOTHING
        val term = answeredTerm
        val runs = answeredStarts
        answeredTerm = NOTHING
        answeredStarts = emptyList()
        if (heartbeat.incarnation != m.incarnation) {
            // A machine that hung reports nothing meanwhile; one that went on reporting has lost its lease unheard.
            val status = answered && m.incarnation != 0L && nowMs - m.lastContactAtMs < leaseMs * REPORTING_SHARE
            incarnationSinceMs = nowMs
            return if (status) miss(WorkerConstants.UNREACHABLE_AFTER_MISSES, nowMs) else false
        }
        val kept = incarnationSinceMs > 0 && nowMs - incarnationSinceMs > leaseMs
        if (!answered) return false
        val started =
            runs.isEmpty() || heartbeat.tasks.any { t -> runs.any { it.index == t.task.index && it.number == t.attempt && it.job.spec.id == t.task.job } }
        if (heartbeat.termSeen < term || !started) return miss(1, nowMs)
        // That nothing is missed proves something only if there was something to miss, or if its lease goes on.
        return if (runs.isNotEmpty() || heartbeat.termSeen > m.termSeen || kept || state == ReachabilityState.SUSPECT) confirmDelivery(nowMs) else false
    }

    private fun miss(
        weight: Int,
        nowMs: Long,
    ): Boolean {
        missed += weight
        return moveTo(if (missed >= WorkerConstants.UNREACHABLE_AFTER_MISSES) ReachabilityState.UNREACHABLE else ReachabilityState.SUSPECT, nowMs)
    }

    /** Something that was sent to the machine has had its effect there. */
    fun confirmDelivery(nowMs: Long): Boolean {
        missed = 0
        return moveTo(ReachabilityState.REACHABLE, nowMs)
    }

    private companion object {
        const val NOTHING = -1L

        /** Share of the lease within which its last heartbeat must lie for the machine to have gone on reporting. */
        const val REPORTING_SHARE = 0.7
    }
}
