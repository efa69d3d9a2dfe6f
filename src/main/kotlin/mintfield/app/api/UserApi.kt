package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.StateLimitsInForce
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Precondition
import mintfield.io.worker.JobCodec

/** What users ask, answered by any node from the store's truth. */
class UserApi(
    private val answers: JobStatusService,
    private val submissions: JobSubmissionService,
    private val replicator: JobReplicator,
    private val changes: UserWriteBatcher,
    private val limits: StateLimitsInForce,
) {
    /** Accepts a job, or tells the state of one that was accepted before. */
    suspend fun submit(request: HttpMessage): Response = submissions.submit(request)

    /** The state of the job [id]. */
    suspend fun poll(id: String): Response {
        val notFound = Response.error(404, "no such job")
        return if (JobCodec.isId(id)) answers.existingOr(id) { notFound } else notFound
    }

    /** Cancels the job [id], unless it has ended. */
    suspend fun abort(id: String): Response {
        val notFound = Response.error(404, "no such job")
        if (!JobCodec.isId(id)) return notFound
        repeat(ABORT_TRIES) {
            val found =
                when (val lookup = answers.lookUp(id)) {
                    is Lookup.Found -> lookup.job
                    Lookup.NotFound -> return notFound
                    Lookup.Unavailable -> return answers.busy("the state service cannot be asked now")
                }
            when (found) {
                is KnownJob.Ended -> return answers.answer(id, found)
                KnownJob.Unreadable -> return answers.busy("what is recorded of it cannot be read")
                is KnownJob.Live -> {
                    if (answers.isCancelled(found)) return answers.answer(id, found)
                    cancel(found.job)?.let { return it }
                }
            }
        }
        return answers.busy("try again")
    }

    /** Writes that [job] is cancelled; null if it is not known whether it is, or it had changed meanwhile. */
    private suspend fun cancel(job: AcceptedJob): Response? {
        val id = job.spec.id
        val cancelled = FinalState(JobPhase.CANCELLED, answers.doneTasks(id), System.currentTimeMillis())
        val preconditions = listOf(Precondition(Keys.live(id), job.revision), Precondition(Keys.final(id), 0))
        val writes =
            listOf(
                KeyWrite.Put(Keys.final(id), FinalStateCodec.encode(cancelled)),
                KeyWrite.Put(Keys.live(id), JobRecordCodec.encodeCancelled(job, limits.lowest.valueBytes)),
            )
        return when (changes.write(preconditions, writes)) {
            WriteResult.APPLIED -> {
                replicator.ended(id, cancelled)
                answers.answer(id, KnownJob.Ended(cancelled))
            }

            WriteResult.REFUSED -> answers.busy("the state service does not take it now")
            WriteResult.CONFLICT, WriteResult.UNKNOWN -> null
        }
    }

    private companion object {
        const val ABORT_TRIES = 3
    }
}
