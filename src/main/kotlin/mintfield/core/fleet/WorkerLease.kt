package mintfield.core.fleet

/**
 * The leader's knowledge of the lease under which a worker keeps its tasks, and the terms that decide which commands the worker accepts
 * and which of its heartbeats count as proof. Times are in milliseconds of monotonic time.
 */
class WorkerLease {
    /** The latest time at which the current lease period can have begun; [Machine.NEVER] if this leader has not renewed the lease. */
    var renewedAtMs = Machine.NEVER
        private set

    /** The lowest fencing token of commands to the machine: the revision at which this leader became its owner; 0 if one leader owns all machines. */
    var epoch = 0L
        private set

    /**
     * The lowest term that the worker must have seen before tasks are planned on it. A new leader cannot distinguish a late copy of an old
     * heartbeat, whose sender may have terminated, from a new one. A worker that has seen this leader's term was alive during that term.
     */
    var requiredTerm = 0L
        private set

    /**
     * The highest term of a direct start command that may still be in flight. Until the worker has seen a higher term, the absence of a task
     * from a heartbeat proves nothing, because a late copy of the command could still be carried out.
     */
    var unacknowledgedTerm = 0L
        private set

    /** The fencing token of the commands to the machine; it only rises. */
    var token = 0L
        private set

    /** The highest token of a direct call with starts, whether it was answered or not. A copy of the call is refused once the worker has seen a higher one. */
    var directStartToken = 0L
        private set

    /** Whether a direct start sent under the current token got no response. While its outcome is unknown, no further call is made. */
    val hasUnansweredStart: Boolean get() = unacknowledgedTerm >= token

    /** Whether this leader has granted or renewed the lease, so that it knows when the lease ends. */
    val isKnown: Boolean get() = renewedAtMs != Machine.NEVER

    /** Records a response to a heartbeat, which renews the lease if it arrives. */
    fun renew(nowMs: Long) {
        renewedAtMs = nowMs
    }

    /** Records a new incarnation, whose lease began with it. Counted from the last response, the lease would appear to end too early. */
    fun restart(nowMs: Long) {
        renewedAtMs = maxOf(renewedAtMs, nowMs)
    }

    /** Whether the lease is known and began more than [expiryMs] ago. */
    fun hasExpired(
        nowMs: Long,
        expiryMs: Long,
    ): Boolean = isKnown && nowMs - renewedAtMs > expiryMs

    /** Records that the machine belongs to this leader, elected in [firstTerm], since revision [epoch]. */
    fun own(
        firstTerm: Long,
        epoch: Long,
    ) {
        this.epoch = epoch
        requiredTerm = maxOf(firstTerm, epoch)
        raiseToken(requiredTerm)
        unacknowledgedTerm = requiredTerm - 1
    }

    /** Records the adoption from another owner, which may have renewed the lease until now and whose start commands may still be in flight. */
    fun adopt(
        firstTerm: Long,
        epoch: Long,
        nowMs: Long,
    ) {
        val earlier = unacknowledgedTerm
        own(firstTerm, epoch)
        recordUnacknowledged(earlier)
        renew(nowMs)
    }

    /** Copies renewal time and tokens of [other], the lease of the same machine under another description. */
    fun copyFrom(other: WorkerLease) {
        renewedAtMs = other.renewedAtMs
        recordUnacknowledged(other.unacknowledgedTerm)
        recordDirectStart(other.directStartToken)
        raiseToken(other.token)
    }

    /** Records that a direct start command of [term] may have been sent and got no response. */
    fun recordUnacknowledged(term: Long) {
        unacknowledgedTerm = maxOf(unacknowledgedTerm, term)
    }

    /** Records that a direct call with starts is sent under [token]. */
    fun recordDirectStart(token: Long) {
        directStartToken = maxOf(directStartToken, token)
    }

    /** Raises [token] to [to] if that is higher. */
    fun raiseToken(to: Long) {
        token = maxOf(token, to)
    }
}
