package mintfield.core.jobs

/**
 * What changed in one shard of one job: new places, tasks that are done, and tasks that have no place any more. Indices
 * are those of the job.
 */
class RoundPart(
    val job: String,
    val chunk: Int,
    val plans: List<PlannedGroup>,
    val done: List<Int>,
    val released: List<Int>,
    /** It tells all there is to tell of its shard, so that no earlier round is needed for it. */
    val full: Boolean = false,
) {
    val indices: List<Int> get() = plans.flatMap { it.indices } + done + released
}

/** The record of one round: a single value that tells of all the jobs it touched. */
class RoundRecord(
    val parts: List<RoundPart>,
)

/** A round record in the store, and how many of its parts are still needed. */
class JournaledRound(
    val key: String,
    /** Revision of its write. */
    val revision: Long,
    val writtenAtMs: Long,
) {
    val needed = HashSet<Pair<String, Int>>()

    /** What it still tells was marked to be told anew. */
    var refreshed = false
}

/**
 * Rounds are written as they are decided, each as one value for all of its jobs, since the store permits few writes. What
 * an old round still tells of jobs that live is told anew by a later one, until nothing of it is needed.
 */
object RoundPacker {
    /** Characters of one value round its parts. */
    private const val FRAME = 20

    /** Takes what changed in [jobs], whole shards in order, into values of at most [maxBytes]; at most [most] values. */
    fun take(
        jobs: List<Job>,
        maxBytes: Int,
        most: Int,
        maxJobs: Int,
    ): List<RoundRecord> {
        val records = ArrayList<RoundRecord>()
        var parts = ArrayList<RoundPart>()
        var bytes = FRAME
        val seen = HashSet<String>()
        for (job in jobs) {
            if (job.id !in seen && seen.size >= maxJobs) break
            var from = job.changed.nextSetBit(0)
            while (from >= 0) {
                val chunk = TaskChunks.of(from)
                val (part, size) = part(job, chunk, maxBytes - FRAME)
                if (bytes + size > maxBytes && parts.isNotEmpty()) {
                    records.add(RoundRecord(parts))
                    parts = ArrayList()
                    bytes = FRAME
                    if (records.size >= most) return records
                }
                part.indices.forEach { job.changed.clear(it) }
                seen.add(job.id)
                parts.add(part)
                bytes += size
                from = job.changed.nextSetBit(from)
            }
        }
        if (parts.isNotEmpty()) records.add(RoundRecord(parts))
        return records
    }

    /** What changed in a shard, or as much of it as [maxBytes] hold, and its size. */
    private fun part(
        job: Job,
        chunk: Int,
        maxBytes: Int,
    ): Pair<RoundPart, Int> {
        val base = chunk * TaskChunks.TASKS
        val groups = LinkedHashMap<Triple<String, Long, Long>, MutableList<Int>>()
        val done = ArrayList<Int>()
        val released = ArrayList<Int>()
        var bytes = job.id.length + PART_FRAME
        var i = job.changed.nextSetBit(base)
        while (i >= 0 && i < base + TaskChunks.TASKS && bytes + GROUP_BYTES < maxBytes) {
            val a = job.attempt(i)
            if (job.done.get(i)) {
                done.add(i)
            } else if (a == null) {
                released.add(i)
            } else {
                val group = Triple(a.machine.id, a.incarnation, a.number)
                if (group !in groups) bytes += a.machine.id.length + GROUP_BYTES
                groups.getOrPut(group) { ArrayList() }.add(i)
            }
            bytes += INDEX_BYTES
            i = job.changed.nextSetBit(i + 1)
        }
        val plans = groups.map { (k, v) -> PlannedGroup(k.first, k.second, k.third, v) }
        val full = done.size + plans.sumOf { it.indices.size } == job.progressCount(chunk)
        return RoundPart(job.id, chunk, plans, done, released, full) to bytes
    }

    /** Puts back what a record that was not written had taken. */
    fun putBack(
        job: Job,
        part: RoundPart,
    ) = part.indices.forEach { job.changed.set(it) }

    private const val PART_FRAME = 24
    private const val GROUP_BYTES = 40

    /** A number in a list of ranges with its comma; shards have fewer than a thousand tasks. */
    private const val INDEX_BYTES = 4
}
