package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.StateLimitsInForce
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Precondition
import mintfield.io.worker.JobCodec

/** The requests of users. Any controller serves them, from the store and by guarded writes to it. Runs on the event loop. */
class UserApi(
    private val answers: JobStatusService,
    private val submissions: JobSubmissionService,
    private val replicator: JobReplicator,
    private val changes: UserWriteBatcher,
    private val limits: StateLimitsInForce,
) {
    /** Accepts a job, or gives the state of one that was accepted before. */
    suspend fun submit(request: HttpMessage): Response = submissions.submit(request)

    /** Gives the state of job [id]. */
    suspend fun poll(id: String): Response = if (JobCodec.isId(id)) answers.existingOr(id) { notFound() } else notFound()

    private fun notFound() = Response.error(HttpStatus.NOT_FOUND, "no such job")

    /** Cancels job [id], unless it has ended. */
    suspend fun abort(id: String): Response {
        if (!JobCodec.isId(id)) return notFound()
        repeat(ABORT_ATTEMPTS) {
            tryAbort(id)?.let { return it }
        }
        return answers.busy("try again")
    }

    /** Cancels job [id] as it is now; null if that must be tried again. */
    private suspend fun tryAbort(id: String): Response? =
        when (val lookup = answers.lookUp(id)) {
            is Lookup.Found -> abort(id, lookup.job)
            Lookup.NotFound -> notFound()
            Lookup.Unavailable -> answers.storeUnavailable()
        }

    private suspend fun abort(
        id: String,
        known: KnownJob,
    ): Response? =
        when (known) {
            is KnownJob.Ended -> answers.answer(id, known)
            is KnownJob.Live -> if (answers.isCancelled(known)) answers.answer(id, known) else cancel(known.job)
            KnownJob.Unreadable -> answers.busy("what is recorded of it cannot be read")
        }

    /** Records that [job] is cancelled; null if it has changed meanwhile or it is not known whether the record was written. */
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
        const val ABORT_ATTEMPTS = 3
    }
}
