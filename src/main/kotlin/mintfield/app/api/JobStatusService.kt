package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.constants.UserApiConstants
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.Log
import mintfield.io.store.Entry
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobPhaseCodec

/** Done and running tasks of a job, for display. */
class Progress(
    val done: Int,
    val running: Int,
)

/** What became of the question whether a job is known. */
sealed interface Lookup {
    class Found(
        val job: KnownJob,
    ) : Lookup

    /** At some moment since the question no such job had been accepted. */
    data object NotFound : Lookup

    /** The store cannot be asked. */
    data object Unavailable : Lookup
}

/**
 * What users are told of the state of a job. Answers are linearizable: each tells the state at a moment after its request came,
 * whichever nodes have told what before, and a final state is never left.
 */
class JobStatusService(
    private val store: StoreClient,
    private val replicator: JobReplicator,
    private val progress: (String) -> Progress?,
    /** Told of a job before a user is told that it is cancelled. */
    private val onCancellationConfirmed: (String) -> Unit,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean,
) {
    /** The state of a job that the store knows, or else what [otherwise] says. */
    suspend inline fun existingOr(
        id: String,
        otherwise: () -> Response,
    ): Response =
        when (val found = lookUp(id)) {
            is Lookup.Found -> answer(id, found.job)
            Lookup.NotFound -> otherwise()
            Lookup.Unavailable -> busy("the state service cannot be asked now")
        }

    /** Looks a job up, as it is in the store now or later. */
    suspend fun lookUp(id: String): Lookup {
        // A final state stays, so what is cached of it is as good as the store's.
        (replicator.known(id) as? KnownJob.Ended)?.let { return Lookup.Found(it) }
        if (cutOff() || !replicator.current()) return Lookup.Unavailable
        if (!replicator.resolveBefore(id)) return Lookup.Unavailable
        val known = replicator.known(id)
        if (known is KnownJob.Ended || known is KnownJob.Live) return Lookup.Found(known)
        // Of a job without a readable record only its final state, which may be long past, can tell more.
        return when (val r = store.get(Keys.final(id))) {
            is StoreResult.Ok -> (r.value?.let { final(id, it) } ?: replicator.known(id))?.let { Lookup.Found(it) } ?: Lookup.NotFound
            else -> Lookup.Unavailable
        }
    }

    /** What the final state's [entry] tells. One that cannot be read is neither done nor cancelled, but its job was accepted. */
    private fun final(
        id: String,
        entry: Entry,
    ): KnownJob {
        val state = FinalStateCodec.decode(entry.data).valueOrNull
        if (state == null) {
            Log.error("$id: its final state of revision ${entry.revision} cannot be read; it is kept and the job called pending")
            return KnownJob.Unreadable
        }
        replicator.ended(id, state)
        return KnownJob.Ended(state)
    }

    /** A submission was accepted, and may have been cancelled or ended before that was known here. */
    fun accepted(id: String): Response {
        val known = replicator.known(id)
        val ended = known is KnownJob.Ended || known is KnownJob.Live && isCancelled(known)
        return if (ended) answer(id, known) else unfinished(id, status = 201)
    }

    /**
     * The one place where a job's state is put into an answer. [known] must have been read since the request came, and nothing may
     * suspend between that reading and this call; a final state that has become known since then counts before it.
     */
    fun answer(
        id: String,
        known: KnownJob,
    ): Response =
        when (val newest = replicator.known(id) as? KnownJob.Ended ?: known) {
            is KnownJob.Ended -> state(id, newest.state.phase, newest.state.tasks, status = 200)
            is KnownJob.Live -> if (isCancelled(newest)) state(id, JobPhase.CANCELLED, doneTasks(id), status = 200) else unfinished(id, status = 200)
            KnownJob.Unreadable -> unfinished(id, status = 200)
        }

    /** Whether a job is cancelled, by its own user or with a job that it depends on, whether or not that is in its record yet. */
    fun isCancelled(known: KnownJob.Live) = known.job.cancelled || replicator.dependencies.isCancelledByDependency(known.job.spec.id)

    /** A submission was accepted, and the job cancelled with one that it depends on. */
    fun acceptedAsCancelled(id: String): Response = state(id, JobPhase.CANCELLED, doneTasks = 0, status = 201)

    private fun unfinished(
        id: String,
        status: Int,
    ): Response {
        val stage = if ((progress(id)?.running ?: 0) > 0) JobPhase.RUNNING else JobPhase.PENDING
        return state(id, stage, doneTasks(id), status)
    }

    /** Tasks of the job [id] that are done, for display. */
    fun doneTasks(id: String) = progress(id)?.done ?: 0

    private fun state(
        id: String,
        stage: JobPhase,
        doneTasks: Int,
        status: Int,
    ): Response {
        val ended = stage == JobPhase.DONE || stage == JobPhase.CANCELLED
        if (stage == JobPhase.CANCELLED) onCancellationConfirmed(id)
        val body =
            Json.obj {
                writeStringField("id", id)
                writeStringField("stage", JobPhaseCodec.write(stage))
                writeNumberField("done", doneTasks)
                writeNumberField("running", if (ended) 0 else progress(id)?.running ?: 0)
            }
        return Response(status, body)
    }

    /** A refusal that asks its user to come back. */
    fun busy(reason: String) = Response.error(503, reason, UserApiConstants.RETRY_AFTER_S)
}
