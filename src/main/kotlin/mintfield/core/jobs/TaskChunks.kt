package mintfield.core.jobs

/**
 * The chunks of a job's tasks, and the notation of tasks within a chunk. A job's progress is recorded by chunks of a fixed number of
 * tasks, so that a job of any size fits the store's values and transactions, and a write is as large as what changed.
 */
object TaskChunks {
    /** Tasks of a chunk. Even with every task on a machine of its own, two values of 8 KiB hold one. */
    const val TASKS = 192

    /** The chunk of task [index]. */
    fun of(index: Int) = index / TASKS

    /** The ascending [indices] relative to [base], as comma-separated numbers and ranges: `0-3,7`. */
    fun ranges(
        indices: List<Int>,
        base: Int,
    ): String {
        val text = StringBuilder()
        var first = 0
        while (first < indices.size) {
            var last = first
            while (last + 1 < indices.size && indices[last + 1] == indices[last] + 1) last++
            if (text.isNotEmpty()) text.append(',')
            text.append(indices[first] - base)
            if (last > first) text.append('-').append(indices[last] - base)
            first = last + 1
        }
        return text.toString()
    }

    /** The indices that [text] as of [ranges] names, relative to [base]. Throws [NumberFormatException] if it is malformed. */
    fun parseRanges(
        text: String,
        base: Int,
    ): List<Int> = text.split(',').filter { it.isNotEmpty() }.flatMap { parseRange(it, base) }

    private fun parseRange(
        text: String,
        base: Int,
    ): List<Int> {
        val dash = text.indexOf('-')
        if (dash < 0) return listOf(base + text.toInt())
        val range = text.substring(0, dash).toInt()..text.substring(dash + 1).toInt()
        return range.map { base + it }
    }
}
