package mintfield.core

/**
 * All cancellations that this leader knows of, from whichever source: its own jobs, the job records, and what peers confirmed
 * before the replay. A worker's lease is renewed on the strength of it, so it must not forget any.
 */
internal class KnownCancellations(
    private val cluster: Cluster,
    /** Whether the job record shows a cancellation, also of a job that the replay has not reached yet. */
    private val isRecorded: (String) -> Boolean,
) {
    /** Confirmed by peers before the replay. The store may become unreachable before the job records show them. */
    private val confirmedBeforeReplay = HashSet<String>()

    /** Whether any source shows that [job] is cancelled, also if another shard schedules it. */
    fun isKnown(job: String): Boolean = cluster.jobs[job]?.cancelled == true || job in confirmedBeforeReplay || isRecorded(job)

    /** A peer confirmed the cancellation of [job] to its user, before the replay of this leader has ended. */
    fun confirmedBeforeReplay(job: String) {
        confirmedBeforeReplay.add(job)
    }

    /** Marks the replayed jobs whose cancellation peers confirmed before the end of the replay. */
    fun applyToReplayedJobs() = confirmedBeforeReplay.forEach { cluster.jobs[it]?.cancel() }
}
