package mintfield.core.placement

import mintfield.core.jobs.Job
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * Kinds of tasks for which a round has searched all machines in vain. As a round only takes room, what one task did not find no later one
 * of the same kind will; so thousands of waiting jobs are not each tried on thousands of machines.
 */
class ExhaustedSearches {
    /** What the choice of a machine depends on, for a job whose tasks may be placed each by itself. */
    private data class Kind(
        val image: String,
        val imageGb: Double,
        val cpus: Double,
        val gpus: Double,
        val memoryGb: Double,
        val compatibleTypes: Set<String>,
        val types: List<String>?,
        val spot: Boolean,
        val zone: String?,
    )

    /** How far a search went that found nothing. */
    private class Extent(
        val worstImage: Int,
        val patienceS: Double,
    )

    private val searches = HashMap<Kind, MutableList<Extent>>()

    /** Whether a search for a task of [job] as far as images of rank [worstImage] and fetches of [patienceS] seconds is known to be vain. */
    fun covers(
        job: Job,
        worstImage: Int,
        patienceS: Double,
    ): Boolean {
        if (searches.isEmpty()) return false
        val kind = kindOf(job) ?: return false
        return searches[kind]?.any { it.worstImage >= worstImage && it.patienceS >= patienceS } ?: false
    }

    /** A search for a task of [job] as far as images of rank [worstImage] and fetches of [patienceS] seconds has found nothing. */
    fun add(
        job: Job,
        worstImage: Int,
        patienceS: Double,
    ) {
        val kind = kindOf(job) ?: return
        searches.getOrPut(kind) { ArrayList(EXTENTS_EXPECTED) }.add(Extent(worstImage, patienceS))
    }

    /** Null if the choice depends on more: on where other tasks of the job are or have failed, or on what it may preempt. */
    private fun kindOf(job: Job): Kind? {
        val spec = job.spec
        if (spec.shape != Shape.ARRAY || job.preemptionPriority < Priority.NORMAL) return null
        if (spec.oneZone || spec.spread || job.failedOn.isNotEmpty()) return null
        return Kind(spec.image, spec.imageGb, spec.cpus, spec.gpus, spec.memoryGb, job.compatibleTypes, spec.types, spec.spot, spec.zone)
    }

    private companion object {
        const val EXTENTS_EXPECTED = 2
    }
}
