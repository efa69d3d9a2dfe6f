package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants

/**
 * Learned run times of tasks. Owners' estimates are often wrong by half, and on some days all in the same direction. So each
 * class learns the ratio of run time to estimate, as an exponential moving average of its logarithm, and each job the mean run
 * time of its own tasks.
 */
class RunTimes {
    private val logRatio = HashMap<String, Double>()

    /** Natural logarithm of run time over estimate, by class. */
    val ratios: Map<String, Double> get() = logRatio

    /** Takes over the [ratios] that an earlier leader has learned. */
    fun restore(ratios: Map<String, Double>) = logRatio.putAll(ratios)

    /** A task of [job] has completed after running for [seconds]. */
    fun learn(
        job: Job,
        seconds: Double,
    ) {
        job.addRunTime(seconds)
        if (job.spec.estimateS <= 0 || seconds <= 0) return
        val sample = Math.log(seconds / job.spec.estimateS).coerceIn(-MAX_LOG, MAX_LOG)
        val before = logRatio[job.spec.jobClass]
        // The tasks of a job are alike; a single job must not outweigh the class.
        val weight = PlacementConstants.RUN_TIME_RATIO_WEIGHT / job.measuredTasks
        logRatio[job.spec.jobClass] = if (before == null) sample * FIRST_WEIGHT else before + weight * (sample - before)
    }

    /** Seconds that a task of [job] is expected to run. */
    fun expectedS(job: Job): Double {
        if (job.measuredTasks >= PlacementConstants.MIN_RUN_TIME_SAMPLES) return job.meanRunS
        return job.spec.estimateS * Math.exp(logRatio[job.spec.jobClass] ?: 0.0)
    }

    private companion object {
        /** Natural logarithm; no class is taken to be wrong by more than five times. */
        const val MAX_LOG = 1.6

        /** Weight of the first sample of a class, against the estimate. */
        const val FIRST_WEIGHT = 0.5
    }
}
