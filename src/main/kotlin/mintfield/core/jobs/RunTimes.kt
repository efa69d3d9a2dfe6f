package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants

/**
 * What tasks really take. Owners' estimates are often wrong by half, and on some days all in the same direction, so
 * each class learns the ratio between truth and estimate, and each job the mean of its own tasks.
 */
class RunTimes {
    private val logRatio = HashMap<String, Double>()

    /** Natural logarithm of truth over estimate, by class. */
    val ratios: Map<String, Double> get() = logRatio

    fun restore(ratios: Map<String, Double>) = logRatio.putAll(ratios)

    fun learn(
        job: Job,
        seconds: Double,
    ) {
        job.measured++
        job.measuredS += seconds
        if (job.spec.estimateS <= 0 || seconds <= 0) return
        val sample = Math.log(seconds / job.spec.estimateS).coerceIn(-MAX_LOG, MAX_LOG)
        val before = logRatio[job.spec.jobClass]
        // Every task of a job tells much the same; a single job must not outweigh the class.
        val weight = PlacementConstants.RUN_TIME_RATIO_WEIGHT / job.measured
        logRatio[job.spec.jobClass] = if (before == null) sample * FIRST_WEIGHT else before + weight * (sample - before)
    }

    fun expectedS(job: Job): Double {
        if (job.measured >= PlacementConstants.MIN_RUN_TIME_SAMPLES) return job.measuredS / job.measured
        return job.spec.estimateS * Math.exp(logRatio[job.spec.jobClass] ?: 0.0)
    }

    private companion object {
        /** Natural logarithm; no class is taken to be wrong by more than five times. */
        const val MAX_LOG = 1.6

        /** How far the first sample of a class is believed. */
        const val FIRST_WEIGHT = 0.5
    }
}
