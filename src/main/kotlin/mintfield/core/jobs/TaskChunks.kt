package mintfield.core.jobs

/**
 * Division of a job's tasks into chunks, and the notation of task indices within a chunk. The progress of a job is recorded by chunks
 * of a fixed number of tasks, so that a job of any size fits the store's values and transactions, and the size of a write is
 * proportional to the change.
 */
object TaskChunks {
    /** A chunk of this size fits two values of 8 KiB even if every task is on a different machine. */
    const val TASKS_PER_CHUNK = 192

    /** Number of the chunk that contains task [index]. */
    fun of(index: Int) = index / TASKS_PER_CHUNK

    /** Formats the ascending [indices] relative to [base] as comma-separated numbers and ranges: `0-3,7`. */
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

    /** Parses [text] in the format of [ranges] and adds [base] to each index. Throws [NumberFormatException] if the text is malformed. */
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
