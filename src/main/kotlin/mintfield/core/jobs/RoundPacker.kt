package mintfield.core.jobs

/**
 * Packs the unwritten changes of jobs into round records. Each round is written when it is decided, as one value for all of its jobs,
 * since the store permits few writes.
 *
 * Sizes are estimated in characters, which equal bytes, since ids and numbers are ASCII.
 */
object RoundPacker {
    /**
     * Packs the unwritten changes of at most [maxJobs] of the [jobs], chunk by chunk and in order, into at most [maxRecords] records of at
     * most [maxBytes], and removes the packed tasks from [Job.unwritten].
     */
    fun pack(
        jobs: List<Job>,
        maxBytes: Int,
        maxRecords: Int,
        maxJobs: Int,
    ): List<RoundRecord> {
        val records = RecordBuilder(maxBytes, maxRecords)
        val packedJobs = HashSet<String>()
        for (job in jobs) {
            if (job.id !in packedJobs && packedJobs.size >= maxJobs) break
            val unwritten = job.unwritten
            var index = unwritten.nextFrom(0)
            while (index >= 0) {
                val sized = part(job, TaskChunks.of(index), maxBytes - RECORD_BYTES)
                if (!records.add(sized)) return records.complete()
                sized.part.indices.forEach(unwritten::remove)
                packedJobs.add(job.id)
                index = unwritten.nextFrom(index)
            }
        }
        return records.complete()
    }

    /** Marks the tasks of [part] as unwritten again, after the write of its record has failed. */
    fun markUnwritten(
        job: Job,
        part: RoundPart,
    ) = part.indices.forEach(job.unwritten::add)

    /** Builds at most [maxRecords] records of at most [maxBytes] each. */
    private class RecordBuilder(
        private val maxBytes: Int,
        private val maxRecords: Int,
    ) {
        private val closed = ArrayList<RoundRecord>()
        private var parts = ArrayList<RoundPart>()
        private var bytes = RECORD_BYTES

        /** Adds [sized] to the open record, or to a new one if it does not fit. Returns false and adds nothing if the limit of records is reached. */
        fun add(sized: SizedPart): Boolean {
            if (bytes + sized.bytes > maxBytes) close()
            if (closed.size >= maxRecords) return false
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

    /** The fields shared by all tasks of a [PlannedGroup]. */
    private data class GroupKey(
        val machine: String,
        val incarnation: Long,
        val attempt: Long,
    )

    /**
     * The unwritten changes of a chunk, or the first of them that fit [maxBytes]. If only waiting tasks are missing for the part to cover
     * the whole chunk, these are added.
     */
    private fun part(
        job: Job,
        chunk: Int,
        maxBytes: Int,
    ): SizedPart {
        val base = chunk * TaskChunks.TASKS_PER_CHUNK
        val progress = job.progress
        val groups = LinkedHashMap<GroupKey, MutableList<Int>>()
        val done = ArrayList<Int>()
        val released = ArrayList<Int>()
        var bytes = job.id.length + PART_BYTES
        var index = job.unwritten.nextFrom(base)
        while (index >= 0 && index < base + TaskChunks.TASKS_PER_CHUNK && bytes + GROUP_BYTES < maxBytes) {
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
            index = job.unwritten.nextFrom(index + 1)
        }
        val isCut = index >= 0 && TaskChunks.of(index) == chunk
        val missing = progress.tasksToCover(chunk).filter { it !in job.unwritten }
        val missingBytes = missing.size * INDEX_BYTES
        val full = !isCut && missing.all(progress::isWaiting) && bytes + missingBytes < maxBytes
        if (full) {
            released.addAll(missing)
            bytes += missingBytes
        }
        val plans = groups.map { (group, indices) -> PlannedGroup(group.machine, group.incarnation, group.attempt, indices) }
        return SizedPart(RoundPart(job.id, chunk, plans, done, released.sorted(), full), bytes)
    }

    /** Size of a record without its parts. */
    private const val RECORD_BYTES = 20

    /** Size of a part without its job id, groups and indices. */
    private const val PART_BYTES = 24

    /** Size of a group without its machine id and indices. */
    private const val GROUP_BYTES = 40

    /** Maximum size of an index in a list of ranges, with its comma; chunks have fewer than a thousand tasks. */
    private const val INDEX_BYTES = 4
}
