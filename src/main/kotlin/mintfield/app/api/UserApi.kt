package mintfield.app.api

import mintfield.app.replica.JobLookup
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

/** Handles the requests of users. Every controller can do so, with reads and conditional writes of the store. Must be used on the event loop only. */
class UserApi(
    private val statuses: JobStatusService,
    private val submissions: JobSubmissionService,
    private val replicator: JobReplicator,
    private val userWrites: UserWriteBatcher,
    private val limits: StateLimitsInForce,
) {
    /** Accepts the job in [request], or responds with its state if it was accepted before. */
    suspend fun submit(request: HttpMessage): Response = submissions.submit(request)

    /** Responds with the state of job [id]. */
    suspend fun poll(id: String): Response = if (JobCodec.isId(id)) statuses.stateOrElse(id) { notFound() } else notFound()

    private fun notFound() = Response.error(HttpStatus.NOT_FOUND, "no such job")

    /** Cancels job [id] unless it has ended, and responds with its state. */
    suspend fun abort(id: String): Response {
        if (!JobCodec.isId(id)) return notFound()
        repeat(ABORT_ATTEMPTS) {
            tryAbort(id)?.let { return it }
        }
        return statuses.busy("try again")
    }

    /** Tries once to cancel job [id]; null if the caller should retry. */
    private suspend fun tryAbort(id: String): Response? =
        when (val lookup = statuses.lookUp(id)) {
            is JobLookup.Found -> abort(id, lookup.job)
            JobLookup.NotFound -> notFound()
            JobLookup.Unavailable -> statuses.storeUnavailable()
        }

    private suspend fun abort(
        id: String,
        known: KnownJob,
    ): Response? =
        when (known) {
            is KnownJob.Ended -> statuses.stateOf(id, known)
            is KnownJob.Live -> if (replicator.isCancelled(known)) statuses.stateOf(id, known) else cancel(known.job)
            KnownJob.Unreadable -> statuses.busy("what is recorded of it cannot be read")
        }

    /** Records [job] as cancelled; null if its record has changed since it was read, or if it is unknown whether the write was applied. */
    private suspend fun cancel(job: AcceptedJob): Response? {
        val id = job.spec.id
        val cancelled = FinalState(JobPhase.CANCELLED, statuses.doneTasks(id), System.currentTimeMillis())
        val preconditions = listOf(Precondition(Keys.live(id), job.revision), Precondition(Keys.final(id), 0))
        val writes =
            listOf(
                KeyWrite.Put(Keys.final(id), FinalStateCodec.encode(cancelled)),
                KeyWrite.Put(Keys.live(id), JobRecordCodec.encodeCancelled(job, limits.lowest.valueBytes)),
            )
        return when (userWrites.write(preconditions, writes)) {
            WriteResult.APPLIED -> {
                replicator.onJobEnded(id, cancelled)
                statuses.stateOf(id, KnownJob.Ended(cancelled))
            }
            WriteResult.REFUSED -> statuses.busy("the state service does not take it now")
            WriteResult.CONFLICT, WriteResult.UNKNOWN -> null
        }
    }

    private companion object {
        const val ABORT_ATTEMPTS = 3
    }
}
