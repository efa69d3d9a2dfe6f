package mintfield.core

/** A set of writes that is carried out whole or not at all, with the precondition that the leader key is at revision [term]. */
class Commit(
    val term: Long,
    val writes: List<Write>,
) {
    /** The revisions of the jobs concerned, as known when the commit was made. They are preconditions, whatever is learned before its answer. */
    val guardRevisions: Map<String, Long> = writes.flatMap { it.guardedJobs }.associate { it.id to it.revision }
}

/** What became of a [Commit]. */
sealed interface CommitResult {
    /** Everything was written, at [revision]. */
    data class Done(
        val revision: Long,
    ) : CommitResult

    /** Nothing was written, since the records of these [jobs] have changed. */
    data class Conflict(
        val jobs: Set<String>,
    ) : CommitResult

    /** Nothing was written; to be tried again. */
    data object Refused : CommitResult

    /** Whether it was written, or will be, is not known. The term must rise before anything relies on it. */
    data object Unknown : CommitResult
}
