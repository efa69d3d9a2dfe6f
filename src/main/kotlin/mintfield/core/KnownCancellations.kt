package mintfield.core

/**
 * All cancellations known to this leader: from its own jobs, the job records, and the confirmations of controllers before the end of
 * the replay. Lease renewals depend on it, so no cancellation may be dropped.
 */
internal class KnownCancellations(
    private val cluster: Cluster,
    /** Whether the job record shows a cancellation. Also covers jobs that have not been replayed yet. */
    private val isRecorded: (String) -> Boolean,
) {
    /** Jobs whose cancellation a controller confirmed before the end of the replay. The store may become unreachable before the job records show it. */
    private val confirmedBeforeReplay = HashSet<String>()

    /** Whether any source shows that [job] is cancelled. Also covers jobs of other shards. */
    fun isKnown(job: String): Boolean = cluster.jobs[job]?.cancelled == true || job in confirmedBeforeReplay || isRecorded(job)

    /** Records that a controller confirmed the cancellation of [job] to its user before this leader's replay ended. */
    fun confirmedBeforeReplay(job: String) {
        confirmedBeforeReplay.add(job)
    }

    /** Cancels the replayed jobs whose cancellation a controller confirmed before the end of the replay. */
    fun applyToReplayedJobs() = confirmedBeforeReplay.forEach { cluster.jobs[it]?.cancel() }
}
