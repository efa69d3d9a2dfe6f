package mintfield.core

/** A transaction on the store: all [writes] or none, with the precondition that the leader key is at revision [term]. */
class Commit private constructor(
    val term: Long,
    val writes: List<Write>,
    /** Preconditions: revision by id of each guarded job, taken when the commit was planned and unaffected by later changes. */
    val guardRevisions: Map<String, Long>,
) {
    /** Plans a commit of [writes]. */
    constructor(
        term: Long,
        writes: List<Write>,
    ) : this(term, writes, writes.flatMap { it.guardedJobs }.associate { it.id to it.revision })

    /** The part of this commit with its first [count] writes only, and with the same revisions. */
    fun first(count: Int) = Commit(term, writes.take(count), guardRevisions)
}

/** The outcome of a [Commit]. */
sealed interface CommitResult {
    /** Everything was written, at [revision]. */
    data class Done(
        val revision: Long,
    ) : CommitResult

    /** Nothing was written, because the records of [jobs] have changed. */
    data class Conflict(
        val jobs: Set<String>,
    ) : CommitResult

    /** Nothing was written. The commit may be retried. */
    data object Refused : CommitResult

    /** It is unknown whether the commit was or will be applied. The term must be raised before anything depends on the outcome. */
    data object Unknown : CommitResult
}
