package mintfield.core

import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundRecord

/** One change that the leader wants to make in the state service. */
sealed interface Write {
    /** The jobs whose records must not have changed; that is a precondition of the write. */
    val guardedJobs: Collection<Job> get() = emptyList()

    /** The outcome of a scheduling round, and what heartbeats have shown since the one before, for all [jobs] concerned. */
    data class RecordRound(
        val key: String,
        val record: RoundRecord,
        val jobs: List<Job>,
    ) : Write {
        override val guardedJobs get() = jobs
    }

    /** Deletes a round record that later ones cover in full. */
    data class DeleteRound(
        val key: String,
    ) : Write

    /** The job is done: its final state replaces its record. */
    data class FinishJob(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Cancels the job because a predecessor is cancelled. It has never started, so its final state replaces its record at once. */
    data class CancelSuccessor(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Deletes the record of a cancelled job of which no task is left on any machine. */
    data class DeleteJobRecord(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Records a decision to scale out, before the cloud is asked. */
    data class WriteIntent(
        val intent: ScaleOutIntent,
    ) : Write

    /** Deletes a recorded decision to scale out that the cloud has carried out. */
    data class DeleteIntent(
        val idempotencyKey: String,
    ) : Write

    /** Saves the leader's learned estimates, or one [block] of them if they take several values. */
    data class SaveLearnedState(
        val block: Int,
        val learnedState: LearnedState,
    ) : Write

    /** Records machines whose heartbeats are no longer answered, so that their leases expire. */
    data class FenceZone(
        val record: ZoneFence,
    ) : Write

    /** Deletes the record of a zone fence that is lifted. */
    data class LiftZoneFence(
        val key: String,
    ) : Write

    /** Rewrites the leader key, so that its revision, which is the term, rises. */
    data object RaiseTerm : Write
}
