package mintfield.core.jobs

/**
 * Packs what changed in jobs into round records. Rounds are written as they are decided, each as one value for all of its jobs,
 * since the store permits few writes.
 *
 * Sizes are estimated in characters, which are bytes: ids and numbers are ASCII.
 */
object RoundPacker {
    /** Takes what changed in [jobs], whole chunks in order, into at most [most] records of at most [maxBytes], for at most [maxJobs] jobs. */
    fun take(
        jobs: List<Job>,
        maxBytes: Int,
        most: Int,
        maxJobs: Int,
    ): List<RoundRecord> {
        val records = RecordBuilder(maxBytes, most)
        val takenJobs = HashSet<String>()
        for (job in jobs) {
            if (job.id !in takenJobs && takenJobs.size >= maxJobs) break
            val unwritten = job.progress.unwritten
            var index = unwritten.nextFrom(0)
            while (index >= 0) {
                val sized = part(job, TaskChunks.of(index), maxBytes - RECORD_BYTES)
                if (!records.add(sized)) return records.complete()
                sized.part.indices.forEach(unwritten::remove)
                takenJobs.add(job.id)
                index = unwritten.nextFrom(index)
            }
        }
        return records.complete()
    }

    /** Puts back what a record that was not written had taken. */
    fun putBack(
        job: Job,
        part: RoundPart,
    ) = part.indices.forEach(job.progress.unwritten::add)

    /** The records taken so far, at most [most], each of at most [maxBytes]. */
    private class RecordBuilder(
        private val maxBytes: Int,
        private val most: Int,
    ) {
        private val closed = ArrayList<RoundRecord>()
        private var parts = ArrayList<RoundPart>()
        private var bytes = RECORD_BYTES

        /** Adds [sized] to the open record, or to a new one. False if it would be one too many; then nothing is added. */
        fun add(sized: SizedPart): Boolean {
            if (bytes + sized.bytes > maxBytes) close()
            if (closed.size >= most) return false
            parts.add(sized.part)
            bytes += sized.bytes
            return true
        }

        private fun close() {
            if (parts.isEmpty()) return
            closed.add(RoundRecord(parts))
            parts = ArrayList()
            bytes = RECORD_BYTES
        }

        fun complete(): List<RoundRecord> {
            close()
            return closed
        }
    }

    private class SizedPart(
        val part: RoundPart,
        val bytes: Int,
    )

    /** What the tasks of a [PlannedGroup] have in common. */
    private data class GroupKey(
        val machine: String,
        val incarnation: Long,
        val attempt: Long,
    )

    /** What changed in a chunk, or as much of it as [maxBytes] hold. */
    private fun part(
        job: Job,
        chunk: Int,
        maxBytes: Int,
    ): SizedPart {
        val base = chunk * TaskChunks.TASKS
        val progress = job.progress
        val groups = LinkedHashMap<GroupKey, MutableList<Int>>()
        val done = ArrayList<Int>()
        val released = ArrayList<Int>()
        var bytes = job.id.length + PART_BYTES
        var index = progress.unwritten.nextFrom(base)
        while (index >= 0 && index < base + TaskChunks.TASKS && bytes + GROUP_BYTES < maxBytes) {
            val attempt = progress.attempt(index)
            if (progress.isDone(index)) {
                done.add(index)
            } else if (attempt == null) {
                released.add(index)
            } else {
                val group = GroupKey(attempt.machine.id, attempt.incarnation, attempt.number)
                if (group !in groups) bytes += attempt.machine.id.length + GROUP_BYTES
                groups.getOrPut(group) { ArrayList() }.add(index)
            }
            bytes += INDEX_BYTES
            index = progress.unwritten.nextFrom(index + 1)
        }
        val plans = groups.map { (group, indices) -> PlannedGroup(group.machine, group.incarnation, group.attempt, indices) }
        val full = done.size + plans.sumOf { it.indices.size } == progress.coveredCount(chunk)
        return SizedPart(RoundPart(job.id, chunk, plans, done, released, full), bytes)
    }

    /** Characters of a record besides its parts. */
    private const val RECORD_BYTES = 20

    /** Characters of a part besides its job's id, its groups and its indices. */
    private const val PART_BYTES = 24

    /** Characters of a group besides its machine's id and its indices. */
    private const val GROUP_BYTES = 40

    /** Characters of a number in a list of ranges with its comma; chunks have fewer than a thousand tasks. */
    private const val INDEX_BYTES = 4
}
