package mintfield.core.fleet

/**
 * The lease under which a worker keeps its tasks, as far as its leader can know it, and the terms that decide which commands the worker
 * still accepts and from when on its heartbeats prove something. Times are steady milliseconds.
 */
class WorkerLease {
    /** The latest moment at which the lease can have begun; [Machine.NEVER] if this leader has not renewed it. */
    var renewedAtMs = Machine.NEVER
        private set

    /** The lowest fencing token of commands to the machine: the revision at which it became this leader's; 0 while one leader owns all. */
    var epoch = 0L
        private set

    /**
     * The lowest term that the worker must have seen before tasks are planned on it. A new leader cannot tell a late copy of an old
     * heartbeat from a new one, and its sender may be gone; a worker that has seen this leader's term is alive in its tenure.
     */
    var requiredTerm = 0L
        private set

    /**
     * The highest term of a direct start that may still be under way. Until the worker has seen a higher one, the absence of a task
     * proves nothing, as a late copy of the start could still be carried out.
     */
    var unacknowledgedTerm = 0L
        private set

    /** Whether this leader has given or renewed the lease, so that it knows when it ends. */
    val isKnown: Boolean get() = renewedAtMs != Machine.NEVER

    /** A heartbeat is answered, and the answer may arrive. */
    fun renew(nowMs: Long) {
        renewedAtMs = nowMs
    }

    /** A new incarnation has shown up, whose lease began with it. Counted from the last answer alone it would end too early. */
    fun restart(nowMs: Long) {
        renewedAtMs = maxOf(renewedAtMs, nowMs)
    }

    /** Whether the lease is known and began longer than [expiryMs] ago. */
    fun hasExpired(
        nowMs: Long,
        expiryMs: Long,
    ): Boolean = isKnown && nowMs - renewedAtMs > expiryMs

    /** The machine is this leader's, elected under [firstTerm], since revision [epoch]. */
    fun own(
        firstTerm: Long,
        epoch: Long,
    ) {
        this.epoch = epoch
        requiredTerm = maxOf(firstTerm, epoch)
        unacknowledgedTerm = requiredTerm - 1
    }

    /** The machine has come from another owner, who may have renewed the lease until now and whose starts may still be under way. */
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

    /** Takes over what is known of [other], the lease of the same machine under another description. */
    fun copyFrom(other: WorkerLease) {
        renewedAtMs = other.renewedAtMs
        recordUnacknowledged(other.unacknowledgedTerm)
    }

    /** A direct start under [term] may have been sent and was not answered. */
    fun recordUnacknowledged(term: Long) {
        unacknowledgedTerm = maxOf(unacknowledgedTerm, term)
    }
}
