package mintfield.core.jobs

/**
 * Packs the unwritten changes of jobs into round records. Each round is written when it is decided, as one value for all of its jobs,
 * since the store permits few writes.
 *
 * Sizes are estimated in characters, which equal bytes, since ids and numbers are ASCII.
 */
object RoundPacker {
    /** The limits of the records of one transaction. */
    class Limits(
        /** Maximum size of a record in bytes. */
        val maxBytes: Int,
        val maxRecords: Int,
        val maxJobs: Int,
    )

    /**
     * Packs the unwritten changes of [jobs], chunk by chunk and in order, as far as they fit into [limits], and removes the packed tasks
     * from [Job.unwritten].
     *
     * A plan must not be written before the releases without which it would break a rule, since a replay starts the tasks of both. The
     * plans of [teamsAtLimit] use the quota that their releases made available, so these come first, and nothing else is packed unless
     * all of them fit. A zone-bound job is packed only together with its own releases ([packZoneBound]).
     */
    fun pack(
        jobs: List<Job>,
        limits: Limits,
        teamsAtLimit: Set<String> = emptySet(),
    ): List<RoundRecord> {
        val records = RecordBuilder(limits)
        val releasesFit = jobs.all { it.spec.team !in teamsAtLimit || packReleases(it, unwrittenReleases(it), records) }
        if (releasesFit) jobs.all { if (isZoneBound(it)) packZoneBound(it, records) else packChanges(it, records) }
        return records.complete()
    }

    private fun isZoneBound(job: Job): Boolean = job.spec.oneZone || job.spec.spread

    /**
     * Packs the unwritten changes of the zone-bound [job]. If they may not fit into one part, its releases come first, and its plans
     * follow with the next transaction if a task is planned anew. Returns whether all of them fit.
     */
    private fun packZoneBound(
        job: Job,
        records: RecordBuilder,
    ): Boolean {
        if (fitsOnePart(job, records.limits.maxBytes)) return packChanges(job, records)
        val plannedAnew = job.unwritten.filter { isPlannedAnew(job, it) }
        val released = (unwrittenReleases(job) + plannedAnew).sorted()
        return packReleases(job, released, records) && (plannedAnew.isNotEmpty() || packChanges(job, records))
    }

    /** Whether a part certainly holds all unwritten changes of [job], even if each task is on a machine of its own. */
    private fun fitsOnePart(
        job: Job,
        maxBytes: Int,
    ): Boolean {
        if (job.spec.tasks > TaskChunks.TASKS_PER_CHUNK) return false
        var taskBytes = 0
        for (index in job.unwritten.filter()) {
            val attempt = job.attempt(index)
            taskBytes += INDEX_BYTES + GROUP_BYTES + (attempt?.machine?.id?.length ?: 0)
        }
        return RECORD_BYTES + partBytes(job) + taskBytes + GROUP_BYTES < maxBytes
    }

    /** Whether task [index] of [job] is planned and not written, while the store may still state its previous plan. */
    private fun isPlannedAnew(
        job: Job,
        index: Int,
    ): Boolean = job.attempt(index)?.state == AttemptState.PLANNING && job.progress.isStatedAsPlanned(index)

    private fun unwrittenReleases(job: Job): List<Int> = job.unwritten.filter(job.progress::isUnwrittenRelease)

    /** Packs tasks of [job] as [released]. Those that are planned anew stay unwritten. Returns whether all of them fit. */
    private fun packReleases(
        job: Job,
        released: List<Int>,
        records: RecordBuilder,
    ): Boolean {
        for ((chunk, ofChunk) in released.groupBy(TaskChunks::of)) {
            val part = RoundPart(job.id, chunk, plans = emptyList(), done = emptyList(), ofChunk)
            if (!records.add(SizedPart(part, partBytes(job) + ofChunk.size * INDEX_BYTES))) return false
            ofChunk.filter(job.progress::isWaiting).forEach(job.unwritten::remove)
        }
        return true
    }

    /** Packs the unwritten changes of [job]. Returns whether all of them fit. */
    private fun packChanges(
        job: Job,
        records: RecordBuilder,
    ): Boolean {
        var index = job.unwritten.nextFrom(0)
        while (index >= 0) {
            val sized = part(job, TaskChunks.of(index), records.limits.maxBytes - RECORD_BYTES)
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

    /** Builds the records of one transaction within [limits]. */
    private class RecordBuilder(
        val limits: Limits,
    ) {
        private val jobs = HashSet<String>()
        private val closed = ArrayList<RoundRecord>()
        private var parts = ArrayList<RoundPart>()
        private var bytes = RECORD_BYTES

        /** Adds [sized] to the open record, or to a new one if it does not fit. Returns false and adds nothing if a limit is reached. */
        fun add(sized: SizedPart): Boolean {
            if (sized.part.job !in jobs && jobs.size >= limits.maxJobs) return false
            if (bytes + sized.bytes > limits.maxBytes) close()
            if (closed.size >= limits.maxRecords) return false
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
