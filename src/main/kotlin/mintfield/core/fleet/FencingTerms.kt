package mintfield.core.fleet

/** The terms that decide which commands a machine still accepts and from when on its heartbeats prove something. */
class FencingTerms {
    /** The lowest fencing token of commands to the machine: the revision at which it became this leader's; 0 while one leader owns all. */
    var epoch = 0L
        private set

    /**
     * The lowest term that the worker must have seen before tasks are planned on it. A new leader cannot tell a late copy of an old
     * heartbeat from a new one, and its sender may be gone; a worker that has seen this leader's term is alive in its tenure.
     */
    var required = 0L
        private set

    /**
     * The highest term of a direct start that may still be under way. Until the worker has seen a higher one, the absence of a task
     * proves nothing, as a late copy of the start could still be carried out.
     */
    var unacknowledged = 0L
        private set

    /** The machine is this leader's, elected under [firstTerm], since revision [epoch]. */
    fun own(
        firstTerm: Long,
        epoch: Long,
    ) {
        this.epoch = epoch
        required = maxOf(firstTerm, epoch)
        unacknowledged = required - 1
    }

    /** The machine has come from another owner. The starts of both owners may still be under way. */
    fun adopt(
        firstTerm: Long,
        epoch: Long,
    ) {
        val earlier = unacknowledged
        own(firstTerm, epoch)
        recordUnacknowledged(earlier)
    }

    /** A direct start under [term] may have been sent and was not answered. */
    fun recordUnacknowledged(term: Long) {
        unacknowledged = maxOf(unacknowledged, term)
    }
}
