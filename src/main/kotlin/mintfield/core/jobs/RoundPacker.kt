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
     *
     * The releases of planned tasks come first, and without all of them nothing else is packed: a plan may use the quota that a release
     * made available, so a record with the plan must not be written before the release. The plans of a job whose tasks must be in certain
     * zones must not be written before the release of its tasks that are planned anew either; they follow with the next transaction.
     */
    fun pack(
        jobs: List<Job>,
        maxBytes: Int,
        maxRecords: Int,
        maxJobs: Int,
    ): List<RoundRecord> {
        val records = RecordBuilder(maxBytes, maxRecords, maxJobs)
        if (jobs.all { packReleases(it, records) }) jobs.filter(::mayStatePlans).all { packChanges(it, records, maxBytes) }
        return records.complete()
    }

    private fun mayStatePlans(job: Job): Boolean = job.unwritten.filter { isPlannedAnew(job, it) }.isEmpty()

    /** Whether task [index] of [job] is bound to zones, planned and not written, while the store may still state its previous plan. */
    private fun isPlannedAnew(
        job: Job,
        index: Int,
    ): Boolean {
        val isZoneBound = job.spec.oneZone || job.spec.spread
        return isZoneBound && job.attempt(index)?.state == AttemptState.PLANNING && job.progress.isStatedAsPlanned(index)
    }

    /** Whether task [index] of [job], which is unwritten, must be stated as released before any plan is stated. */
    private fun isRelease(
        job: Job,
        index: Int,
    ): Boolean = (job.progress.isWaiting(index) && job.progress.isStatedAsPlanned(index)) || isPlannedAnew(job, index)

    /** Packs the releases of planned tasks of [job]. Returns whether all of them fit. */
    private fun packReleases(
        job: Job,
        records: RecordBuilder,
    ): Boolean {
        val releases = job.unwritten.filter { isRelease(job, it) }
        for ((chunk, released) in releases.groupBy(TaskChunks::of)) {
            val part = RoundPart(job.id, chunk, plans = emptyList(), done = emptyList(), released)
            if (!records.add(SizedPart(part, partBytes(job) + released.size * INDEX_BYTES))) return false
            released.filter(job.progress::isWaiting).forEach(job.unwritten::remove)
        }
        return true
    }

    /** Packs the unwritten changes of [job]. Returns whether all of them fit. */
    private fun packChanges(
        job: Job,
        records: RecordBuilder,
        maxBytes: Int,
    ): Boolean {
        var index = job.unwritten.nextFrom(0)
        while (index >= 0) {
            val sized = part(job, TaskChunks.of(index), maxBytes - RECORD_BYTES)
            if (!records.add(sized)) return false
            sized.part.indices.forEach(job.unwritten::remove)
            index = job.unwritten.nextFrom(index)
        }
        return true
    }

    /** Marks the tasks of [part] as unwritten again, after the write of its record has failed. */
    fun markUnwritten(
        job: Job,
        part: RoundPart,
    ) = part.indices.forEach(job.unwritten::add)

    /** Builds at most [maxRecords] records of at most [maxBytes] each, with parts of at most [maxJobs] jobs. */
    private class RecordBuilder(
        private val maxBytes: Int,
        private val maxRecords: Int,
        private val maxJobs: Int,
    ) {
        private val jobs = HashSet<String>()
        private val closed = ArrayList<RoundRecord>()
        private var parts = ArrayList<RoundPart>()
        private var bytes = RECORD_BYTES

        /** Adds [sized] to the open record, or to a new one if it does not fit. Returns false and adds nothing if a limit is reached. */
        fun add(sized: SizedPart): Boolean {
            if (sized.part.job !in jobs && jobs.size >= maxJobs) return false
            if (bytes + sized.bytes > maxBytes) close()
            if (closed.size >= maxRecords) return false
            jobs.add(sized.part.job)
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
        var bytes = partBytes(job)
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

    /** Size of a part of [job] without its groups and indices. */
    private fun partBytes(job: Job): Int = job.id.length + PART_BYTES

    /** Size of a record without its parts. */
    private const val RECORD_BYTES = 26

    /** Size of a part without its job id, groups and indices. */
    private const val PART_BYTES = 24

    /** Size of a group without its machine id and indices. */
    private const val GROUP_BYTES = 40

    /** Maximum size of an index in a list of ranges, with its comma; chunks have fewer than a thousand tasks. */
    private const val INDEX_BYTES = 4
}
