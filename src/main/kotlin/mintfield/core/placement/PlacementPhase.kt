package mintfield.core.placement

import mintfield.core.jobs.Job
import mintfield.core.model.Priority

/** One pass of the search for machines for a job's tasks: the image ranks that it accepts, and whether it preempts or spreads replicas. */
internal class PlacementPhase private constructor(
    /** The highest, that is worst, [ImageRank] that is accepted. */
    val maxImageRank: Int,
    /** Whether attempts of lower priority are stopped to free capacity. */
    val preempting: Boolean = false,
    /** Whether replicas fill only a fraction of each machine, [mintfield.core.constants.PlacementConstants.SPREAD_CPU_FRACTION]. */
    val spreading: Boolean = false,
) {
    /** The sequences of phases for jobs with and without preemption. */
    companion object {
        private val NON_PREEMPTING = listOf(PlacementPhase(ImageRank.ABSENT))

        /**
         * Preemption on machines that have the image is preferred to fetching it on other machines. Replicas fill only a fraction of each
         * machine as long as other machines have capacity. Packed on the fullest machines, many replicas would be lost with one machine,
         * and their image would be on few machines.
         */
        private val PREEMPTING =
            listOf(
                PlacementPhase(ImageRank.PRESENT, spreading = true),
                PlacementPhase(ImageRank.PRESENT),
                PlacementPhase(ImageRank.PRESENT, preempting = true),
                PlacementPhase(ImageRank.FETCHING, spreading = true),
                PlacementPhase(ImageRank.ABSENT, spreading = true),
                PlacementPhase(ImageRank.FETCHING),
                PlacementPhase(ImageRank.ABSENT),
                PlacementPhase(ImageRank.ABSENT, preempting = true),
            )

        /** The phases for tasks of [job], in order. */
        fun of(job: Job): List<PlacementPhase> = if (job.preemptionPriority < Priority.NORMAL) PREEMPTING else NON_PREEMPTING
    }
}
