package mintfield.core.fleet

import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.Attempt
import mintfield.core.model.Heartbeat

/**
 * A failure detector for the direction from the leader to one machine. In an asymmetric partition a machine's heartbeats arrive but no
 * response reaches it: it looks alive, is assigned tasks, starts none of them and loses those that it has with each lease. This shows by
 * what its heartbeats lack: the term and the starts of the last response, or a lease that expired although each heartbeat was answered.
 */
class Reachability {
    /** The verdict. */
    var state = ReachabilityState.REACHABLE
        private set

    /** Steady milliseconds at which the machine last became unreachable. */
    var sinceMs = 0L
        private set

    /** How often the machine has become unreachable; each time makes the pause after it longer. */
    var episodes = 0
        private set

    private var answeredTerm = NO_ANSWER
    private var answeredStarts: List<Attempt> = emptyList()
    private var incarnationSinceMs = 0L
    private var missed = 0

    /** Whether nothing speaks against it. */
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

    /** A heartbeat was answered with [term] and the starts of [attempts]. */
    fun recordAnswer(
        term: Long,
        attempts: List<Attempt>,
    ) {
        answeredTerm = term
        answeredStarts = attempts
    }

    /**
     * Takes in [heartbeat], which came on its own and is newer than those that [known] has recorded. [leaseMs] is the length of a
     * worker's lease. Returns whether the state has changed.
     */
    fun onHeartbeat(
        known: HeartbeatRecord,
        heartbeat: Heartbeat,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val term = answeredTerm
        val starts = answeredStarts
        answeredTerm = NO_ANSWER
        answeredStarts = emptyList()
        return when {
            heartbeat.incarnation != known.incarnation -> onNewIncarnation(known, term != NO_ANSWER, leaseMs, nowMs)
            term == NO_ANSWER -> false
            heartbeat.termSeen < term || !showsAnyOf(starts, heartbeat) -> miss(1, nowMs)
            else -> (starts.isNotEmpty() || provesDelivery(known, heartbeat, leaseMs, nowMs)) && confirmDelivery(nowMs)
        }
    }

    /** That nothing is missing proves delivery only if something could have been missing, or if the lease was renewed meanwhile. */
    private fun provesDelivery(
        known: HeartbeatRecord,
        heartbeat: Heartbeat,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val leaseRenewed = incarnationSinceMs > 0 && nowMs - incarnationSinceMs > leaseMs
        return heartbeat.termSeen > known.termSeen || leaseRenewed || state == ReachabilityState.SUSPECT
    }

    /** A machine that hung sends no heartbeats meanwhile; one that kept sending them lost its lease because the responses were lost. */
    private fun onNewIncarnation(
        known: HeartbeatRecord,
        answered: Boolean,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        incarnationSinceMs = nowMs
        val keptSending = answered && known.incarnation != 0L && nowMs - known.lastContactAtMs < leaseMs * KEPT_SENDING_FRACTION
        return keptSending && miss(WorkerConstants.UNREACHABLE_AFTER_MISSES, nowMs)
    }

    private fun showsAnyOf(
        starts: List<Attempt>,
        heartbeat: Heartbeat,
    ): Boolean =
        starts.isEmpty() ||
            heartbeat.tasks.any { status ->
                starts.any { it.index == status.task.index && it.number == status.attempt && it.job.spec.id == status.task.job }
            }

    private fun miss(
        weight: Int,
        nowMs: Long,
    ): Boolean {
        missed += weight
        return moveTo(if (missed >= WorkerConstants.UNREACHABLE_AFTER_MISSES) ReachabilityState.UNREACHABLE else ReachabilityState.SUSPECT, nowMs)
    }

    /** Something that was sent to the machine has taken effect there. Returns whether the state has changed. */
    fun confirmDelivery(nowMs: Long): Boolean {
        missed = 0
        return moveTo(ReachabilityState.REACHABLE, nowMs)
    }

    private companion object {
        const val NO_ANSWER = -1L

        /** Fraction of the lease within which the last heartbeat must lie for the machine to have kept sending them. */
        const val KEPT_SENDING_FRACTION = 0.7
    }
}
