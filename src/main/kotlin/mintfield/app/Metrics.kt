package mintfield.app

import org.HdrHistogram.Histogram

/** Histograms of the durations of requests and commits, in milliseconds, for the summary in the log. Each summary resets them. */
class Metrics {
    private class Series(
        val name: String,
    ) {
        val histogram = Histogram(1, MAX_RECORDED_MS, SIGNIFICANT_DIGITS)
    }

    private val accepts = Series("accept")
    private val polls = Series("poll")
    private val commits = Series("commit")
    private val jobReads = Series("job read")

    /** Records the time from the arrival of a submission to its response. */
    fun recordSubmission(ms: Long) = record(accepts, ms)

    /** Records the time from the arrival of a query for the state of a job to its response. */
    fun recordQuery(ms: Long) = record(polls, ms)

    /** Records the time from the sending of a commit to its response or failure. */
    fun recordCommit(ms: Long) = record(commits, ms)

    /** Records the time from the sending of a read of the jobs on behalf of users to its response or failure. */
    fun recordJobRead(ms: Long) = record(jobReads, ms)

    private fun record(
        series: Series,
        ms: Long,
    ) = series.histogram.recordValue(ms.coerceIn(1, MAX_RECORDED_MS))

    /** Formats the durations since the last summary as `accept n=3 p50=12 p99=40 max=40 ms, ...`, or as an empty string without any, and resets them. */
    fun takeSummary(): String =
        listOf(accepts, polls, commits, jobReads).filter { it.histogram.totalCount > 0 }.joinToString(", ") { series ->
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

        /** Upper bound of the recorded durations. Longer ones are recorded as this value. */
        const val MAX_RECORDED_MS = 60_000L

        /** Significant decimal digits of a recorded value. Two digits keep a histogram at a few kilobytes. */
        const val SIGNIFICANT_DIGITS = 2
    }
}
