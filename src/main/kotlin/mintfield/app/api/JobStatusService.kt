package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.constants.UserApiConstants
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.loop.Log
import mintfield.io.store.Decoded
import mintfield.io.store.Entry
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobStatusCodec

/**
 * Makes the responses that tell users the state of a job. They are linearizable: each gives the state at a moment after its request
 * came, whichever controllers have answered before, and a final state never changes. Runs on the event loop.
 */
class JobStatusService(
    private val store: StoreClient,
    private val replicator: JobReplicator,
    /** The progress of a job by its id; null if it is not known here. */
    private val progress: (String) -> Progress?,
    /** Called with the id of a job before a user is told that it is cancelled. */
    private val onCancellationConfirmed: (String) -> Unit,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean,
) {
    /** The state of job [id]; the response of [otherwise] if it was never accepted. */
    suspend inline fun existingOr(
        id: String,
        otherwise: () -> Response,
    ): Response =
        when (val found = lookUp(id)) {
            is Lookup.Found -> answer(id, found.job)
            Lookup.NotFound -> otherwise()
            Lookup.Unavailable -> storeUnavailable()
        }

    /** Looks job [id] up, as it is in the store at a moment after this call. A cached final state is as good, since it never changes. */
    suspend fun lookUp(id: String): Lookup {
        val cached = replicator.known(id) as? KnownJob.Ended
        return if (cached == null) lookUpCurrent(id) else Lookup.Found(cached)
    }

    private suspend fun lookUpCurrent(id: String): Lookup {
        if (cutOff() || !replicator.current() || !replicator.resolveBefore(id)) return Lookup.Unavailable
        val known = replicator.known(id)
        if (known is KnownJob.Ended || known is KnownJob.Live) return Lookup.Found(known)
        // Of a job without a readable record only its final state, which may be long past, can tell more.
        val read = store.get(Keys.final(id)) as? StoreResult.Ok ?: return Lookup.Unavailable
        val recorded = read.value?.let { finalState(id, it) } ?: replicator.known(id)
        return if (recorded == null) Lookup.NotFound else Lookup.Found(recorded)
    }

    /** The job whose final state is in [entry]. If that cannot be read the job is neither done nor cancelled, but it was accepted. */
    private fun finalState(
        id: String,
        entry: Entry,
    ): KnownJob =
        when (val decoded = FinalStateCodec.decode(entry.data)) {
            is Decoded.Valid -> {
                replicator.ended(id, decoded.value)
                KnownJob.Ended(decoded.value)
            }
            is Decoded.Invalid -> {
                Log.error("$id: its final state of revision ${entry.revision} cannot be read; it is kept and the job called pending")
                KnownJob.Unreadable
            }
        }

    /** The response to a submission that was accepted just now; the job may have been cancelled or ended before that was known here. */
    fun accepted(id: String): Response {
        val known = replicator.known(id)
        val ended = known is KnownJob.Ended || known is KnownJob.Live && isCancelled(known)
        return if (ended) answer(id, known) else unfinished(id, HttpStatus.CREATED)
    }

    /**
     * The only function that puts a job's state into a response. [known] must have been read since the request came, and nothing may
     * suspend between that reading and this call; a final state that has become known since then takes precedence.
     */
    fun answer(
        id: String,
        known: KnownJob,
    ): Response =
        when (val newest = replicator.known(id) as? KnownJob.Ended ?: known) {
            is KnownJob.Ended -> response(id, newest.state.phase, newest.state.doneTasks, HttpStatus.OK)
            is KnownJob.Live ->
                if (isCancelled(newest)) response(id, JobPhase.CANCELLED, doneTasks(id), HttpStatus.OK) else unfinished(id, HttpStatus.OK)
            KnownJob.Unreadable -> unfinished(id, HttpStatus.OK)
        }

    /** Whether a job is cancelled, by its own user or with a job that it depends on, whether or not its record says so yet. */
    fun isCancelled(known: KnownJob.Live) = known.job.cancelled || replicator.dependencies.isCancelledByDependency(known.job.spec.id)

    /** The response to a submission that was accepted and at once cancelled, as a job that it depends on is cancelled. */
    fun acceptedAsCancelled(id: String): Response = response(id, JobPhase.CANCELLED, doneTasks = 0, HttpStatus.CREATED)

    private fun unfinished(
        id: String,
        status: Int,
    ): Response {
        val phase = if (runningTasks(id) > 0) JobPhase.RUNNING else JobPhase.PENDING
        return response(id, phase, doneTasks(id), status)
    }

    /** Number of tasks of job [id] that are done, for display. */
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

    /** A refusal that asks the user to try again later. */
    fun busy(reason: String) = Response.error(HttpStatus.SERVICE_UNAVAILABLE, reason, UserApiConstants.RETRY_AFTER_S)

    /** A refusal as the store, without which no state can be confirmed, does not respond. */
    fun storeUnavailable() = busy("the state service cannot be asked now")
}
