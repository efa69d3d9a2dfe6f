package mintfield.core.placement

import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * The searches of a scheduling round that found no machine. Free capacity only decreases during a round, so a search that has failed for
 * one task fails for every later task with the same requirements. Skipping such searches avoids trying each of thousands of waiting jobs
 * on thousands of machines.
 */
class ExhaustedSearches(
    private val nowMs: Long,
) {
    /** The properties that determine the choice of a machine, for a job whose tasks can be placed independently of each other. */
    private data class Requirements(
        val image: String,
        val imageGb: Double,
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
        val compatibleTypes: Set<String>,
        val types: List<String>?,
        val spot: Boolean,
        val zone: String?,
        val acceptsAnyMachine: Boolean,
    )

    /** The highest image rank and the longest fetch that a failed search accepted. */
    private class SearchLimits(
        val maxImageRank: Int,
        val maxFetchS: Double,
    )

    private val searches = HashMap<Requirements, MutableList<SearchLimits>>()

    /** Whether a search for a task of [job] that accepts image ranks up to [maxImageRank] and fetches of up to [maxFetchS] seconds is known to fail. */
    fun covers(
        job: Job,
        maxImageRank: Int,
        maxFetchS: Double,
    ): Boolean {
        if (searches.isEmpty()) return false
        val requirements = requirementsOf(job) ?: return false
        return searches[requirements]?.any { it.maxImageRank >= maxImageRank && it.maxFetchS >= maxFetchS } ?: false
    }

    /** Records that a search for a task of [job] found no machine with an image rank up to [maxImageRank] and a fetch of up to [maxFetchS] seconds. */
    fun add(
        job: Job,
        maxImageRank: Int,
        maxFetchS: Double,
    ) {
        val requirements = requirementsOf(job) ?: return
        searches.getOrPut(requirements) { ArrayList(EXPECTED_SEARCHES) }.add(SearchLimits(maxImageRank, maxFetchS))
    }

    /**
     * The requirements of the tasks of [job]; null if the choice of a machine also depends on where other tasks of the job are or have
     * failed, or on the attempts that the job may preempt.
     */
    private fun requirementsOf(job: Job): Requirements? {
        val spec = job.spec
        if (spec.shape != Shape.ARRAY || job.preemptionPriority < Priority.NORMAL) return null
        if (spec.oneZone || spec.spread || job.failedOn.isNotEmpty()) return null
        return Requirements(
            spec.image,
            spec.imageGb,
            spec.cpus,
            spec.gpus,
            spec.memoryGb,
            job.compatibleTypes,
            spec.types,
            spec.spot,
            spec.zone,
            job.acceptsAnyMachine(nowMs),
        )
    }

    private companion object {
        const val EXPECTED_SEARCHES = 2
    }
}
