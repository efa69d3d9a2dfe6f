package mintfield.app.api

import mintfield.app.replica.CurrentJobReader
import mintfield.app.replica.JobLookup
import mintfield.app.replica.JobReplicator
import mintfield.core.constants.UserApiConstants
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.worker.JobStatusCodec

/**
 * Creates the responses to users that contain the state of a job. They are linearizable: each contains the state at a moment after the
 * arrival of its request, whichever controllers have responded before, and a final state never changes. Must be used on the event loop only.
 */
class JobStatusService(
    private val jobs: CurrentJobReader,
    private val replicator: JobReplicator,
    /** Returns the progress of a job by its id; null if it is not known here. */
    private val progress: (String) -> Progress?,
    /** Called with the id of a job before its cancellation is confirmed to a user. */
    private val onCancellationConfirmed: (String) -> Unit,
) {
    /** The response with the state of job [id]; the response of [otherwise] if the job was never accepted. */
    suspend inline fun stateOrElse(
        id: String,
        otherwise: () -> Response,
    ): Response =
        when (val found = lookUp(id)) {
            is JobLookup.Found -> stateOf(id, found.job)
            JobLookup.NotFound -> otherwise()
            JobLookup.Unavailable -> storeUnavailable()
        }

    /** Looks up job [id] as of a moment after this call. */
    suspend fun lookUp(id: String): JobLookup = jobs.lookUp(id)

    /** The response to a submission whose write was just applied. The job may have been cancelled or ended before the write result arrived. */
    fun accepted(id: String): Response {
        val known = replicator.known(id)
        val ended = known is KnownJob.Ended || known is KnownJob.Live && replicator.isCancelled(known)
        return if (ended) stateOf(id, known) else unfinished(id, HttpStatus.CREATED)
    }

    /**
     * The response with the state of job [id]. All responses with the state of a job that existed before the request are created here.
     * [known] must have been read after the arrival of the request, without a suspension between the read and this call. A final state
     * that has become known since the read takes precedence.
     */
    fun stateOf(
        id: String,
        known: KnownJob,
    ): Response =
        when (val newest = replicator.known(id) as? KnownJob.Ended ?: known) {
            is KnownJob.Ended -> response(id, newest.state.phase, newest.state.doneTasks, HttpStatus.OK)
            is KnownJob.Live ->
                if (replicator.isCancelled(newest)) response(id, JobPhase.CANCELLED, doneTasks(id), HttpStatus.OK) else unfinished(id, HttpStatus.OK)
            KnownJob.Unreadable -> unfinished(id, HttpStatus.OK)
        }

    /** The response to a submission that was accepted and immediately cancelled, because a job that it depends on is cancelled. */
    fun acceptedAsCancelled(id: String): Response = response(id, JobPhase.CANCELLED, doneTasks = 0, HttpStatus.CREATED)

    private fun unfinished(
        id: String,
        status: Int,
    ): Response {
        val phase = if (runningTasks(id) > 0) JobPhase.RUNNING else JobPhase.PENDING
        return response(id, phase, doneTasks(id), status)
    }

    /** Number of done tasks of job [id], for display; 0 if its progress is not known here. */
    fun doneTasks(id: String) = progress(id)?.done ?: 0

    private fun runningTasks(id: String) = progress(id)?.running ?: 0

    private fun response(
        id: String,
        phase: JobPhase,
        doneTasks: Int,
        status: Int,
    ): Response {
        if (phase == JobPhase.CANCELLED) onCancellationConfirmed(id)
        val ended = phase == JobPhase.DONE || phase == JobPhase.CANCELLED
        return Response(status, JobStatusCodec.encode(id, phase, doneTasks, if (ended) 0 else runningTasks(id)))
    }

    /** A 503 response for [reason], with a delay after which the user should retry. */
    fun busy(reason: String) = Response.error(HttpStatus.SERVICE_UNAVAILABLE, reason, UserApiConstants.RETRY_AFTER_S)

    /** The response while the store, which is required to confirm a state, cannot be read. */
    fun storeUnavailable() = busy("the state service cannot be asked now")
}
