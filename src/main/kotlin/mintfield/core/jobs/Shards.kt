package mintfield.core.jobs

import java.util.Base64
import java.util.BitSet

/** Plan of some tasks on one machine, as a record holds it. */
data class PlannedGroup(
    val machine: String,
    val season: Long,
    val attempt: Long,
    val indices: List<Int>,
)

/** The recorded outputs of a job's plan and done-set steps for one range of its tasks. */
data class ShardRecord(
    val plans: List<PlannedGroup>,
    val done: BitSet,
)

/**
 * A job's progress is kept in shards of a fixed number of tasks, so that a job of any size fits values and
 * transactions of any store, and a change writes in proportion to what changed.
 */
object Shards {
    /** Tasks a shard; even with every task on a machine of its own the record stays within 8 KiB. */
    const val TASKS = 192

    fun of(index: Int) = index / TASKS

    fun record(
        job: Job,
        shard: Int,
    ): ShardRecord {
        val from = shard * TASKS
        val to = minOf(from + TASKS, job.spec.tasks)
        val groups = LinkedHashMap<Triple<String, Long, Long>, MutableList<Int>>()
        for (i in from until to) {
            if (job.done.get(i)) continue
            val a = job.attempt(i) ?: continue
            groups.getOrPut(Triple(a.machine.id, a.season, a.number)) { ArrayList() }.add(i)
        }
        return ShardRecord(
            groups.map { (k, v) -> PlannedGroup(k.first, k.second, k.third, v) },
            job.done.get(from, to),
        )
    }

    /** `0-3,7`: numbers relative to the shard. */
    fun ranges(
        indices: List<Int>,
        from: Int,
    ): String {
        val out = StringBuilder()
        var i = 0
        while (i < indices.size) {
            var j = i
            while (j + 1 < indices.size && indices[j + 1] == indices[j] + 1) j++
            if (out.isNotEmpty()) out.append(',')
            out.append(indices[i] - from)
            if (j > i) out.append('-').append(indices[j] - from)
            i = j + 1
        }
        return out.toString()
    }

    fun parseRanges(
        text: String,
        from: Int,
    ): List<Int> =
        text.split(',').filter { it.isNotEmpty() }.flatMap { part ->
            val dash = part.indexOf('-')
            if (dash < 0) {
                listOf(from + part.toInt())
            } else {
                (part.substring(0, dash).toInt()..part.substring(dash + 1).toInt()).map { from + it }
            }
        }

    fun encodeBits(bits: BitSet): String = Base64.getEncoder().encodeToString(bits.toByteArray())

    fun decodeBits(text: String): BitSet = BitSet.valueOf(Base64.getDecoder().decode(text))
}
