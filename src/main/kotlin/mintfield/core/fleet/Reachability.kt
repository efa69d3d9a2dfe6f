package mintfield.core.fleet

import mintfield.core.constants.WorkerConstants
import mintfield.core.jobs.Attempt
import mintfield.core.model.Heartbeat

/**
 * A failure detector for the direction from the leader to one machine. In an asymmetric partition a machine's heartbeats arrive but no
 * response reaches it: it appears alive and is assigned tasks, but starts none of them and loses its running tasks whenever its lease expires.
 * Evidence is a heartbeat without the term and the starts of the last response, or a lease that expired although each heartbeat got a response.
 */
class Reachability {
    /** Current result of the detector. */
    var state = ReachabilityState.REACHABLE
        private set

    /** Monotonic time in milliseconds at which the machine last became unreachable; 0 if it never did. */
    var sinceMs = 0L
        private set

    /** Number of times the machine has become unreachable; each makes the following pause longer. */
    var episodes = 0
        private set

    private var lastResponseTerm = NO_RESPONSE
    private var lastResponseStarts: List<Attempt> = emptyList()
    private var incarnationSinceMs = 0L
    private var missedResponses = 0

    /** Whether responses and commands are assumed to arrive. */
    val isReachable: Boolean get() = state == ReachabilityState.REACHABLE

    /** Changes the state to [next]; returns whether it differs from the previous one. All state changes use this function. */
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

    /** Records a response to a heartbeat with the starts of [attempts], after which the worker must have seen at least [term]. */
    fun recordResponse(
        term: Long,
        attempts: List<Attempt>,
    ) {
        lastResponseTerm = term
        lastResponseStarts = attempts
    }

    /**
     * Evaluates the unprompted [heartbeat], which is newer than those recorded in [known]. [leaseMs] is the length of a worker's lease.
     * Returns whether the state has changed.
     */
    fun onHeartbeat(
        known: HeartbeatRecord,
        heartbeat: Heartbeat,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val term = lastResponseTerm
        val starts = lastResponseStarts
        lastResponseTerm = NO_RESPONSE
        lastResponseStarts = emptyList()
        return when {
            heartbeat.incarnation != known.incarnation -> onNewIncarnation(known, term != NO_RESPONSE, leaseMs, nowMs)
            term == NO_RESPONSE -> false
            heartbeat.termSeen < term || !showsAnyOf(starts, heartbeat) -> recordMiss(1, nowMs)
            else -> (starts.isNotEmpty() || provesDelivery(known, heartbeat, leaseMs, nowMs)) && confirmDelivery(nowMs)
        }
    }

    /** Whether a heartbeat without missing items proves delivery: an item could have been missing, or the lease was renewed in the meantime. */
    private fun provesDelivery(
        known: HeartbeatRecord,
        heartbeat: Heartbeat,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        val leaseRenewed = incarnationSinceMs > 0 && nowMs - incarnationSinceMs > leaseMs
        return heartbeat.termSeen > known.termSeen || leaseRenewed || state == ReachabilityState.SUSPECT
    }

    /** Distinguishes a machine that hung and sent no heartbeats from one that kept sending them and lost its lease because responses were lost. */
    private fun onNewIncarnation(
        known: HeartbeatRecord,
        hasResponded: Boolean,
        leaseMs: Long,
        nowMs: Long,
    ): Boolean {
        incarnationSinceMs = nowMs
        val keptSending = hasResponded && known.incarnation != 0L && nowMs - known.lastContactAtMs < leaseMs * MAX_HEARTBEAT_GAP_FRACTION
        return keptSending && recordMiss(WorkerConstants.UNREACHABLE_AFTER_MISSES, nowMs)
    }

    private fun showsAnyOf(
        starts: List<Attempt>,
        heartbeat: Heartbeat,
    ): Boolean =
        starts.isEmpty() ||
            heartbeat.tasks.any { status ->
                starts.any { it.index == status.task.index && it.number == status.attempt && it.job.spec.id == status.task.job }
            }

    private fun recordMiss(
        weight: Int,
        nowMs: Long,
    ): Boolean {
        missedResponses += weight
        return moveTo(if (missedResponses >= WorkerConstants.UNREACHABLE_AFTER_MISSES) ReachabilityState.UNREACHABLE else ReachabilityState.SUSPECT, nowMs)
    }

    /** Records that a command or response has taken effect on the machine. Returns whether the state has changed. */
    fun confirmDelivery(nowMs: Long): Boolean {
        missedResponses = 0
        return moveTo(ReachabilityState.REACHABLE, nowMs)
    }

    private companion object {
        const val NO_RESPONSE = -1L

        /** Maximum age of the last heartbeat, as a fraction of the lease, for the machine to count as having kept sending heartbeats. */
        const val MAX_HEARTBEAT_GAP_FRACTION = 0.7
    }
}
