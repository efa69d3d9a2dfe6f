package mintfield.core.jobs

/** A round record in the store, with the chunks for which it is still needed. */
class JournaledRound(
    val key: String,
    /** Revision of its write. */
    val revision: Long,
    /** When it was written or replayed, in steady milliseconds. */
    val writtenAtMs: Long,
) {
    /** A chunk of a job. */
    data class Chunk(
        val job: String,
        val number: Int,
    )

    private val needed = HashSet<Chunk>()

    /** The chunks that no later record covers as a whole. */
    val neededFor: Set<Chunk> get() = needed

    /** Whether later records cover all that this one does. */
    val isObsolete: Boolean get() = needed.isEmpty()

    /** Whether what it is needed for has been marked to be written again. */
    var rewriteRequested = false
        private set

    /** It covers a part of chunk [chunk] of [job]. */
    fun needFor(
        job: Job,
        chunk: Int,
    ) {
        needed.add(Chunk(job.id, chunk))
    }

    /** A later record covers all of chunk [chunk] of [job], or the job is gone. */
    fun notNeededFor(
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
