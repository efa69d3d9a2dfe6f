package mintfield.app

import org.HdrHistogram.Histogram

/** How long requests and commits take, in milliseconds, for the summary in the log. Each summary starts anew. */
class Metrics {
    private class Series(
        val name: String,
    ) {
        val histogram = Histogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    }

    private val accepts = Series("accept")
    private val polls = Series("poll")
    private val commits = Series("commit")

    /** A submission was answered after [ms]. */
    fun accepted(ms: Long) = record(accepts, ms)

    /** A question about a job's state was answered after [ms]. */
    fun polled(ms: Long) = record(polls, ms)

    /** A commit was settled after [ms], by an answer or the lack of one. */
    fun committed(ms: Long) = record(commits, ms)

    private fun record(
        series: Series,
        ms: Long,
    ) = series.histogram.recordValue(ms.coerceIn(1, MAX_RECORDED_MS))

    /** Since the last summary: `accept n=3 p50=12 p99=40 max=40 ms, ...`; empty if nothing was recorded. */
    fun takeSummary(): String =
        listOf(accepts, polls, commits).filter { it.histogram.totalCount > 0 }.joinToString(", ") { series ->
            val histogram = series.histogram
            val median = histogram.getValueAtPercentile(MEDIAN)
            val tail = histogram.getValueAtPercentile(TAIL)
            val text = "${series.name} n=${histogram.totalCount} p50=$median p99=$tail max=${histogram.maxValue} ms"
            histogram.reset()
            text
        }

    private companion object {
        const val MEDIAN = 50.0
        const val TAIL = 99.0

        /** Milliseconds; whatever takes longer counts as this. */
        const val MAX_RECORDED_MS = 60_000L

        /** Two keep a histogram at a few kilobytes. */
        const val SIGNIFICANT_DIGITS = 2
    }
}
