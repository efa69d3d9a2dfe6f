package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants

/**
 * Learned run times of tasks. The estimates of job owners are often off by half, and on some days all in the same direction. The ratio
 * of run time to estimate is therefore learned for each job class, as an exponential moving average of its logarithm, and the mean run
 * time of its tasks for each job.
 */
class RunTimes {
    private val logRatio = HashMap<String, Double>()

    /** Natural logarithm of the ratio of run time to estimate, by job class. */
    val ratios: Map<String, Double> get() = logRatio

    /** Restores the [ratios] learned by an earlier leader. */
    fun restore(ratios: Map<String, Double>) = logRatio.putAll(ratios)

    /** Learns from a task of [job] that has completed after running for [seconds]. */
    fun learn(
        job: Job,
        seconds: Double,
    ) {
        job.addRunTime(seconds)
        if (job.spec.estimateS <= 0 || seconds <= 0) return
        val sample = Math.log(seconds / job.spec.estimateS).coerceIn(-MAX_LOG_RATIO, MAX_LOG_RATIO)
        val before = logRatio[job.spec.jobClass]
        // The tasks of a job have similar run times; a single job must not outweigh the rest of its class.
        val weight = PlacementConstants.RUN_TIME_RATIO_WEIGHT / job.measuredTasks
        logRatio[job.spec.jobClass] = if (before == null) sample * FIRST_SAMPLE_WEIGHT else before + weight * (sample - before)
    }

    /** Expected run time of a task of [job], in seconds. */
    fun expectedS(job: Job): Double {
        if (job.measuredTasks >= PlacementConstants.MIN_RUN_TIME_SAMPLES) return job.meanRunS
        return job.spec.estimateS * Math.exp(logRatio[job.spec.jobClass] ?: 0.0)
    }

    private companion object {
        /** Limit of a learned ratio as a natural logarithm: the estimates of a class are corrected by a factor of at most five. */
        const val MAX_LOG_RATIO = 1.6

        /** Weight of the first sample of a class relative to the estimate. */
        const val FIRST_SAMPLE_WEIGHT = 0.5
    }
}
