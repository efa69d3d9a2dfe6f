package mintfield.core.jobs

/** A round record in the store and the chunks for which it is still needed. */
class JournaledRound(
    val key: String,
    /** Store revision at which the record was written. */
    val revision: Long,
    /** When the record was written or replayed, in milliseconds of monotonic time. */
    val writtenAtMs: Long,
) {
    /** Chunk [number] of the job with id [job]. */
    data class Chunk(
        val job: String,
        val number: Int,
    )

    private val needed = HashSet<Chunk>()

    /** The chunks of this record that no later record covers completely. */
    val neededFor: Set<Chunk> get() = needed

    /** Whether later records cover all chunks of this one. */
    val isObsolete: Boolean get() = needed.isEmpty()

    /** Whether the chunks for which it is needed have been marked to be written again. */
    var rewriteRequested = false
        private set

    /** Marks the record as needed for chunk [chunk] of [job], of which it covers at least a part. */
    fun markNeededFor(
        job: Job,
        chunk: Int,
    ) {
        needed.add(Chunk(job.id, chunk))
    }

    /** Marks the record as no longer needed for chunk [chunk] of [job]: a later one covers the chunk completely, or the job was removed. */
    fun clearNeededFor(
        job: Job,
        chunk: Int,
    ) {
        needed.remove(Chunk(job.id, chunk))
    }

    /** Sets [rewriteRequested]. */
    fun requestRewrite() {
        rewriteRequested = true
    }
}
