package mintfield.app

import kotlinx.coroutines.CompletableDeferred
import mintfield.app.pipelines.PredecessorLookup
import mintfield.app.pipelines.Predecessors
import mintfield.app.upgrade.VersionRecords
import mintfield.core.Tuning
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.Shape
import mintfield.core.model.Stage
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.fittingTypes
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.Log
import mintfield.io.store.Entry
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Records
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobCodec

/** Done and running tasks of a job, for display. */
class Progress(
    val done: Int,
    val running: Int,
)

/**
 * What users ask, answered by any node from the store's truth. Answers are linearizable: each tells the state of its job at a
 * moment after its request came, whichever nodes have told what before, and a final state is never left.
 */
class UserApi(
    private val settings: Settings,
    private val store: StoreClient,
    private val view: JobView,
    private val changes: ChangeWriter,
    private val versions: VersionRecords,
    private val limits: StateLimitsInForce,
    private val types: () -> Collection<MachineType>,
    private val progress: (String) -> Progress?,
    /** Told of a job before a user is told that it is cancelled. */
    private val tellingCancelled: (String) -> Unit,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean = { false },
) {
    private val predecessors = PredecessorLookup(store, view)

    /** The submissions under way, by job; each completes when it has ended, however that was. */
    private val submitting = HashMap<String, CompletableDeferred<Unit>>()

    /** Accepts a job, or tells the state of one that was accepted before. */
    suspend fun submit(request: HttpMessage): Response =
        when (val parsed = JobCodec.parse(Json.parse(request.body))) {
            is JobCodec.Parsed.Invalid -> {
                val refusal = Response.error(400, parsed.reason)
                if (parsed.id == null) refusal else orKnown(parsed.id) { refusal }
            }

            is JobCodec.Parsed.Valid -> submitting[parsed.spec.id]?.let { repeated(parsed.spec, it) } ?: submitAlone(parsed.spec)
        }

    /**
     * A submission that comes while another of the same job is under way. It must not share that one's answer, which may rest on
     * what was so before this request came: another node may have told meanwhile that the job is done or cancelled (rule
     * `went_back`). So the job is looked up anew, now and again once the other has ended.
     */
    private suspend fun repeated(
        spec: JobSpec,
        earlier: CompletableDeferred<Unit>,
    ): Response =
        orKnown(spec.id) {
            earlier.await()
            orKnown(spec.id) { if (spec.id in submitting) busy("it is being submitted") else submitAlone(spec) }
        }

    /** One at a time for each job: one transaction must not write a key twice. */
    private suspend fun submitAlone(spec: JobSpec): Response {
        val ended = CompletableDeferred<Unit>()
        submitting[spec.id] = ended
        try {
            val response = submit(spec)
            if (response.status >= 400) Log.info("submission of ${spec.id} answered ${response.status}: ${String(response.body)}")
            return response
        } finally {
            submitting.remove(spec.id)
            ended.complete(Unit)
        }
    }

    private suspend fun submit(spec: JobSpec): Response {
        (view.known(spec.id) as? KnownJob.Ended)?.let { return answer(spec.id, it) }
        val known = types()
        if (known.isEmpty()) return orKnown(spec.id) { busy("the machine types are not known yet") }
        val fits = fittingTypes(spec, known)
        impossible(spec, fits)?.let { reason -> return orKnown(spec.id) { Response.error(422, reason) } }
        if (cutOff()) return busy("the state service cannot be reached from here")
        if (!changes.open) return busy("too many submissions are waiting")
        return if (spec.predecessors.isEmpty()) accept(spec, fits) else submitDependent(spec, fits)
    }

    /** A job that depends on others. The state of one that is known already does not depend on what has become of those. */
    private suspend fun submitDependent(
        spec: JobSpec,
        fits: List<String>,
    ): Response {
        if (!versions.allHave(Generation.DEPENDENCIES)) return orKnown(spec.id) { busy("a controller still runs an earlier version") }
        return when (val found = predecessors.find(spec.predecessors)) {
            is Predecessors.NeverAccepted -> orKnown(spec.id) { Response.error(422, "awaits: ${found.id} was never accepted") }
            is Predecessors.Service -> orKnown(spec.id) { Response.error(422, "awaits: ${found.id} is a service, which is never done") }
            Predecessors.Unavailable -> busy("the state service cannot be asked now")
            is Predecessors.Accepted ->
                if (found.withdrawn) acceptWithdrawn(spec.id) else accept(spec.copy(predecessors = found.unfinished), fits)
        }
    }

    /** Writes that a job is accepted, unless it has been before. */
    private suspend fun accept(
        spec: JobSpec,
        fits: List<String>,
    ): Response {
        val json = Records.live(AcceptedJob(spec, 0, System.currentTimeMillis(), withdrawn = false, fits = fits))
        if (json.size > limits.lowest.valueBytes) return orKnown(spec.id) { Response.error(400, "the description is too long") }
        return write(spec.id, KeyWrite.Put(Keys.live(spec.id), json)) { accepted(spec.id) }
    }

    /** Writes that a job is accepted and, since one that it depends on is cancelled, withdrawn. */
    private suspend fun acceptWithdrawn(id: String): Response {
        val withdrawn = FinalState(Stage.WITHDRAWN, 0, System.currentTimeMillis())
        return write(id, KeyWrite.Put(Keys.final(id), Records.final(withdrawn))) {
            view.ended(id, withdrawn)
            state(id, Stage.WITHDRAWN, 0, status = 201)
        }
    }

    private suspend inline fun write(
        id: String,
        record: KeyWrite,
        applied: () -> Response,
    ): Response {
        val guards = listOf(Guard(Keys.live(id), 0), Guard(Keys.final(id), 0))
        return when (changes.write(guards, listOf(record))) {
            ChangeResult.APPLIED -> applied()
            ChangeResult.CONFLICT -> orKnown(id) { busy("try again") }
            ChangeResult.REFUSED -> busy("the state service does not take it now")
            ChangeResult.UNKNOWN -> orKnown(id) { busy("not known yet whether it was accepted") }
        }
    }

    private fun impossible(
        spec: JobSpec,
        fits: List<String>,
    ): String? {
        val team = settings.teams.firstOrNull { it.name == spec.team } ?: return "crew: unknown team ${spec.team}"
        if (fits.isEmpty()) return "a task fits no allowed machine type"
        val atOnce = if (spec.shape == Shape.ARRAY) 1 else spec.tasks // a gang or a service needs all of its tasks at once
        if (team.cpusMax > 0 && spec.cpus * atOnce > team.cpusMax) return "more CPUs than the limit of ${team.name}"
        if (team.gpusMax > 0 && spec.gpus * atOnce > team.gpusMax) return "more cards than the limit of ${team.name}"
        return null
    }

    /** The state of a job that the store knows, or else what [otherwise] says. */
    private suspend inline fun orKnown(
        id: String,
        otherwise: () -> Response,
    ): Response =
        when (val found = lookUp(id)) {
            is Lookup.Found -> answer(id, found.job)
            Lookup.NotFound -> otherwise()
            Lookup.Unavailable -> busy("the state service cannot be asked now")
        }

    /** What became of the question whether a job is known. */
    private sealed interface Lookup {
        class Found(
            val job: KnownJob,
        ) : Lookup

        /** At some moment since the question no such job had been accepted. */
        data object NotFound : Lookup

        /** The store cannot be asked. */
        data object Unavailable : Lookup
    }

    /** Looks a job up, as it is in the store now or later. */
    private suspend fun lookUp(id: String): Lookup {
        // A final state stays, so what is cached of it is as good as the store's.
        (view.known(id) as? KnownJob.Ended)?.let { return Lookup.Found(it) }
        if (cutOff() || !view.current()) return Lookup.Unavailable
        if (!view.resolveBefore(id)) return Lookup.Unavailable
        val known = view.known(id)
        if (known is KnownJob.Ended || known is KnownJob.Live) return Lookup.Found(known)
        // Of a job without a readable record only its final state, which may be long past, can tell more.
        return when (val r = store.get(Keys.final(id))) {
            is StoreResult.Ok -> (r.value?.let { final(id, it) } ?: view.known(id))?.let { Lookup.Found(it) } ?: Lookup.NotFound
            else -> Lookup.Unavailable
        }
    }

    /** What the final state's [entry] tells. One that cannot be read is neither done nor withdrawn, but its job was accepted. */
    private fun final(
        id: String,
        entry: Entry,
    ): KnownJob {
        val state = Records.parseFinal(entry.data)
        if (state == null) {
            Log.error("$id: its final state of revision ${entry.mark} cannot be read; it is kept and the job called pending")
            return KnownJob.Unreadable
        }
        view.ended(id, state)
        return KnownJob.Ended(state)
    }

    /** The state of the job [id]. */
    suspend fun poll(id: String): Response {
        val notFound = Response.error(404, "no such job")
        return if (JobCodec.isId(id)) orKnown(id) { notFound } else notFound
    }

    /** Cancels the job [id], unless it has ended. */
    suspend fun abort(id: String): Response {
        val notFound = Response.error(404, "no such job")
        if (!JobCodec.isId(id)) return notFound
        repeat(ABORT_TRIES) {
            val found =
                when (val lookup = lookUp(id)) {
                    is Lookup.Found -> lookup.job
                    Lookup.NotFound -> return notFound
                    Lookup.Unavailable -> return busy("the state service cannot be asked now")
                }
            when (found) {
                is KnownJob.Ended -> return answer(id, found)
                KnownJob.Unreadable -> return busy("what is recorded of it cannot be read")
                is KnownJob.Live -> {
                    if (isWithdrawn(found)) return answer(id, found)
                    cancel(found.job)?.let { return it }
                }
            }
        }
        return busy("try again")
    }

    /** Writes that [job] is withdrawn; null if it is not known whether it is, or it had changed meanwhile. */
    private suspend fun cancel(job: AcceptedJob): Response? {
        val id = job.spec.id
        val withdrawn = FinalState(Stage.WITHDRAWN, progress(id)?.done ?: 0, System.currentTimeMillis())
        val guards = listOf(Guard(Keys.live(id), job.mark), Guard(Keys.final(id), 0))
        val writes =
            listOf(
                KeyWrite.Put(Keys.final(id), Records.final(withdrawn)),
                KeyWrite.Put(Keys.live(id), Records.withdrawn(job, limits.lowest.valueBytes)),
            )
        return when (changes.write(guards, writes)) {
            ChangeResult.APPLIED -> {
                view.ended(id, withdrawn)
                answer(id, KnownJob.Ended(withdrawn))
            }

            ChangeResult.REFUSED -> busy("the state service does not take it now")
            ChangeResult.CONFLICT, ChangeResult.UNKNOWN -> null
        }
    }

    /** A submission was accepted, and may have been cancelled or ended before that was known here. */
    private fun accepted(id: String): Response {
        val known = view.known(id)
        val ended = known is KnownJob.Ended || known is KnownJob.Live && isWithdrawn(known)
        return if (ended) answer(id, known) else unfinished(id, status = 201)
    }

    /**
     * The one place where a job's state is put into an answer. [known] must have been read since the request came, and nothing may
     * suspend between that reading and this call; a final state that has become known since then counts before it.
     */
    private fun answer(
        id: String,
        known: KnownJob,
    ): Response =
        when (val newest = view.known(id) as? KnownJob.Ended ?: known) {
            is KnownJob.Ended -> state(id, newest.state.stage, newest.state.tasks, status = 200)
            is KnownJob.Live -> if (isWithdrawn(newest)) state(id, Stage.WITHDRAWN, doneTasks(id), status = 200) else unfinished(id, status = 200)
            KnownJob.Unreadable -> unfinished(id, status = 200)
        }

    /** Whether a job is withdrawn, by its own user or with a job that it depends on, whether or not that is in its record yet. */
    private fun isWithdrawn(known: KnownJob.Live) = known.job.withdrawn || view.dependencies.isDoomed(known.job.spec.id)

    private fun unfinished(
        id: String,
        status: Int,
    ): Response {
        val stage = if ((progress(id)?.running ?: 0) > 0) Stage.RUNNING else Stage.PENDING
        return state(id, stage, doneTasks(id), status)
    }

    private fun doneTasks(id: String) = progress(id)?.done ?: 0

    private fun state(
        id: String,
        stage: Stage,
        doneTasks: Int,
        status: Int,
    ): Response {
        val ended = stage == Stage.DONE || stage == Stage.WITHDRAWN
        if (stage == Stage.WITHDRAWN) tellingCancelled(id)
        val body =
            Json.obj {
                writeStringField("id", id)
                writeStringField("stage", stage.name.lowercase())
                writeNumberField("done", doneTasks)
                writeNumberField("running", if (ended) 0 else progress(id)?.running ?: 0)
            }
        return Response(status, body)
    }

    private fun busy(reason: String) = Response.error(503, reason, Tuning.RETRY_AFTER_S)

    private companion object {
        const val ABORT_TRIES = 3
    }
}
