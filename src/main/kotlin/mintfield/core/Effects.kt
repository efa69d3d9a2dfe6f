package mintfield.core

import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.WorkerCommand

/** One change that the leader wants in the store. */
sealed interface Write {
    /** Jobs that must not have changed for it to be carried out. */
    val guardedJobs: Collection<Job> get() = emptyList()

    /** What one round decided and what was reported since the last one, of all [jobs] that it touches. */
    data class RecordRound(
        val key: String,
        val record: RoundRecord,
        val jobs: List<Job>,
    ) : Write {
        override val guardedJobs get() = jobs
    }

    /** A round record that tells nothing any more. */
    data class DeleteRound(
        val key: String,
    ) : Write

    /** The job is done: its final state replaces it and its records. */
    data class FinishJob(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** A predecessor of the job is cancelled, and it is cancelled with it. It has never started, so its record goes at once. */
    data class CancelSuccessor(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    /** Everything of a cancelled job is gone from the machines: its records go. */
    data class DeleteJobRecord(
        val job: Job,
    ) : Write {
        override val guardedJobs get() = listOf(job)
    }

    data class WriteIntent(
        val intent: ScaleOutIntent,
    ) : Write

    data class DeleteIntent(
        val idempotencyKey: String,
    ) : Write

    /** What the leader has learned, or one [block] of it if it takes several values. */
    data class SaveLearnedState(
        val block: Int,
        val learnedState: LearnedState,
    ) : Write

    /** The leader's word on machines that it does not answer any more. */
    data class FenceZone(
        val record: ZoneFence,
    ) : Write

    /** That word does not hold any more. */
    data class LiftZoneFence(
        val key: String,
    ) : Write

    /** Rewrites the leader key, so that its revision, the term, rises. */
    data object RaiseTerm : Write
}

data class ScaleOutIntent(
    val idempotencyKey: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val number: Int,
)

/** A set of writes that is carried out whole or not at all, guarded by the leader key. */
class Commit(
    val term: Long,
    val writes: List<Write>,
) {
    /** Revisions of the jobs that it touches, as known when it was made: they guard it, whatever is heard before its answer. */
    val guardRevisions: Map<String, Long> = writes.flatMap { it.guardedJobs }.associate { it.id to it.revision }
}

sealed interface CommitResult {
    data class Done(
        val revision: Long,
    ) : CommitResult

    /** Nothing was written, since these jobs changed. */
    data class Conflict(
        val jobs: Set<String>,
    ) : CommitResult

    /** Nothing was written; to be tried again. */
    data object Refused : CommitResult

    /** Whether it was or will be written is not known. The term must rise before anything relies on it. */
    data object Unknown : CommitResult
}

/** Orders sent straight to a worker. */
class DirectCall(
    val machine: String,
    val address: String,
    val term: Long,
    val incarnation: Long,
    val commands: List<WorkerCommand>,
)

sealed interface CloudCall {
    data class Provision(
        val intent: ScaleOutIntent,
    ) : CloudCall

    data class Release(
        val machines: List<String>,
    ) : CloudCall

    /** Page of the machine list after [after]. */
    data class ListPage(
        val after: String?,
    ) : CloudCall

    data object Types : CloudCall
}
