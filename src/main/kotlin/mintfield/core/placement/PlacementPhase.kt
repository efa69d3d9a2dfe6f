package mintfield.core.placement

import mintfield.core.jobs.Job
import mintfield.core.model.Priority

/** One pass of the search for machines for a job's tasks: which images are near enough, and whether it preempts or spreads replicas. */
internal class PlacementPhase private constructor(
    /** The worst [ImageRank] that is accepted. */
    val worstImage: Int,
    /** Whether work of lower priority is stopped to make room. */
    val preempting: Boolean = false,
    /** Whether replicas fill only a fraction of each machine. */
    val spreading: Boolean = false,
) {
    /** The sequences of phases. */
    companion object {
        private val ORDINARY = listOf(PlacementPhase(ImageRank.ABSENT))

        /**
         * Preempting where the image is comes before fetching it elsewhere. Replicas fill each machine to a fraction only, as long as
         * others will do: packed on the fullest machines, many would be lost with one, and their image would be on few machines.
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
        fun of(job: Job): List<PlacementPhase> = if (job.preemptionPriority < Priority.NORMAL) PREEMPTING else ORDINARY
    }
}
