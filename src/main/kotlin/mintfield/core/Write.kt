package mintfield.core

import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundRecord

/** One change by the leader in the store, part of a [Commit]. */
sealed interface Write {
    /** Jobs whose records must be unchanged, as a precondition of the write. */
    val guardedJobs: Collection<Job> get() = emptyList()

    /** The record that the write creates; null if it creates none. */
    val creates: LeaderRecord? get() = null

    /** The record that the write deletes; null if it deletes none. */
    val deletes: LeaderRecord? get() = null

    /**
     * Records the outcome of a scheduling round, and the results from heartbeats since the previous round, for all affected [jobs].
     * Precondition: there is no record under [key].
     */
    data class RecordRound(
        val key: String,
        val record: RoundRecord,
        val jobs: List<Job>,
    ) : Write {
        override val guardedJobs get() = jobs
        override val creates get() = LeaderRecord.Round(key)
    }

    /** Deletes a round record that later records cover in full. */
    data class DeleteRound(
        val key: String,
    ) : Write {
        override val deletes get() = LeaderRecord.Round(key)
    }

    /** Replaces the record of a completed job by its final state. */
    data class FinishJob(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Cancels a job because a predecessor was cancelled. The job has never started, so its final state replaces its record at once. */
    data class CancelSuccessor(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Deletes the record of a cancelled job that has no active attempts. */
    data class DeleteJobRecord(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Records a decision to scale out, before the request is sent to the cloud. */
    data class WriteIntent(
        val intent: ScaleOutIntent,
    ) : Write {
        override val creates get() = LeaderRecord.Intent(intent.idempotencyKey)
    }

    /** Deletes a recorded decision to scale out that the cloud has carried out. */
    data class DeleteIntent(
        val idempotencyKey: String,
    ) : Write {
        override val deletes get() = LeaderRecord.Intent(idempotencyKey)
    }

    /** Saves one [block] of the leader's learned estimates. A large fleet needs several blocks, one value each. */
    data class SaveLearnedState(
        val block: Int,
        val learnedState: LearnedState,
    ) : Write

    /** Records machines whose leases are no longer renewed, so that they expire. */
    data class FenceZone(
        val record: ZoneFence,
    ) : Write {
        override val creates get() = LeaderRecord.Fence(record.key)
    }

    /** Deletes the record of a lifted zone fence. */
    data class LiftZoneFence(
        val key: String,
    ) : Write {
        override val deletes get() = LeaderRecord.Fence(key)
    }

    /** Rewrites the leader key, which raises its revision and therefore the term. */
    data object RaiseTerm : Write
}
