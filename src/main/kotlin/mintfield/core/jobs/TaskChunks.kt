package mintfield.core.jobs

/** Plan of some tasks on one machine, as a record holds it. */
data class PlannedGroup(
    val machine: String,
    val incarnation: Long,
    val attempt: Long,
    val indices: List<Int>,
)

/**
 * A job's progress is told in shards of a fixed number of tasks, so that a job of any size fits values and
 * transactions of any store, and a change writes in proportion to what changed.
 */
object TaskChunks {
    /** Tasks a shard; even with every task on a machine of its own, two values of 8 KiB hold one. */
    const val TASKS = 192

    fun of(index: Int) = index / TASKS

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
}
