package mintfield.app

import org.HdrHistogram.Histogram

/** How long things take, for the summary in the log; reset with every summary. */
class Metrics {
    private class Series(
        val name: String,
    ) {
        val histogram = Histogram(1, MOST_MS, DIGITS)
    }

    private val accepts = Series("accept")
    private val polls = Series("poll")
    private val commits = Series("commit")

    fun accepted(ms: Long) = record(accepts, ms)

    fun polled(ms: Long) = record(polls, ms)

    fun committed(ms: Long) = record(commits, ms)

    private fun record(
        series: Series,
        ms: Long,
    ) = series.histogram.recordValue(ms.coerceIn(1, MOST_MS))

    /** `accept n=3 p50=12 p99=40 max=40 ms, ...`; empty if nothing was recorded. */
    fun takeSummary(): String =
        listOf(accepts, polls, commits).filter { it.histogram.totalCount > 0 }.joinToString(", ") { s ->
            val h = s.histogram
            val text =
                "${s.name} n=${h.totalCount} p50=${h.getValueAtPercentile(50.0)} p99=${h.getValueAtPercentile(99.0)} max=${h.maxValue} ms"
            h.reset()
            text
        }

    private companion object {
        /** Milliseconds; what takes longer counts as this. */
        const val MOST_MS = 60_000L

        /** Significant digits; two keep a histogram at a few kilobytes. */
        const val DIGITS = 2
    }
}
