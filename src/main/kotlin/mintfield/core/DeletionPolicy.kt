package mintfield.core

/**
 * Decides when a record of this leader may be deleted. A late copy of the transaction that created the record would create it again after
 * its deletion; the copy's precondition on the leader key refuses it once the term has risen. So a record is deleted under a higher term
 * than that of its creation, or together with a raise of the term. Not thread-safe, like [Cluster].
 */
internal class DeletionPolicy(
    private val cluster: Cluster,
) {
    /** The term in which each existing record of this leader was created. Records of earlier leaders are missing. */
    private val createdIn = HashMap<LeaderRecord, Long>()

    /** Handles [commit], which was applied or may have been. */
    fun onSent(commit: Commit) {
        for (write in commit.writes) write.creates?.let { createdIn[it] = commit.term }
    }

    /** Handles [commit], which was applied. */
    fun onApplied(commit: Commit) {
        onSent(commit)
        for (write in commit.writes) write.deletes?.let { createdIn.remove(it) }
    }

    /** Whether the term has risen since [record] was created. */
    fun mayDelete(record: LeaderRecord): Boolean = (createdIn[record] ?: return true) < cluster.term
}
