package mintfield.core

/**
 * All cancellations known to this leader, also of jobs that it has not replayed yet or that other shards schedule: from its own jobs, the
 * job records, and the confirmations of controllers. Lease renewals depend on it, so no cancellation may be dropped.
 */
internal class KnownCancellations(
    private val cluster: Cluster,
    /** Whether the job record, as last read, shows a cancellation. */
    private val isRecorded: (String) -> Boolean,
) {
    /**
     * Jobs whose cancellation a controller confirmed and that the job records may not show yet, with the time at which this leader learned
     * of it, the earliest first. The store may become unreachable before the job records show it.
     */
    private val unread = LinkedHashMap<String, Long>()

    /** Whether any source shows that [job] is cancelled. */
    fun isKnown(job: String): Boolean = cluster.jobs[job]?.cancelled == true || job in unread || isRecorded(job)

    /** Records at [nowMs] that a controller confirms the cancellation of [job] to its user. */
    fun confirmed(
        job: String,
        nowMs: Long,
    ) {
        unread.putIfAbsent(job, nowMs)
    }

    /** Forgets the confirmations received before [sentAtMs]: a read of the job records that was sent then shows all of them. */
    fun recordsRead(sentAtMs: Long) {
        val receivedAtMs = unread.values.iterator()
        while (receivedAtMs.hasNext() && receivedAtMs.next() < sentAtMs) receivedAtMs.remove()
    }
}
