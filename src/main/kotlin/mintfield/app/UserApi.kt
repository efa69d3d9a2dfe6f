package mintfield.app

import kotlinx.coroutines.CompletableDeferred
import mintfield.core.Tuning
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.Shape
import mintfield.core.model.Stage
import mintfield.core.model.fittingTypes
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.Log
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

/** What users ask, answered by any node from the store's truth. */
class UserApi(
    private val settings: Settings,
    private val store: StoreClient,
    private val view: JobView,
    private val changes: ChangeWriter,
    private val types: () -> Collection<MachineType>,
    private val progress: (String) -> Progress?,
    /** Told of a job before a user is told that it is cancelled. */
    private val tellingCancelled: (String) -> Unit,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean = { false },
) {
    private val submitting = HashMap<String, CompletableDeferred<Response>>()

    suspend fun submit(request: HttpMessage): Response {
        val parsed = JobCodec.parse(Json.parse(request.body))
        return when (parsed) {
            is JobCodec.Parsed.Invalid -> {
                val id = parsed.id ?: return Response.error(400, parsed.reason)
                orKnown(id) { Response.error(400, parsed.reason) }
            }

            is JobCodec.Parsed.Valid -> {
                val id = parsed.spec.id
                // The same id may come twice at once; one transaction must not write a key twice.
                submitting[id]?.let { return it.await() }
                val shared = CompletableDeferred<Response>()
                submitting[id] = shared
                try {
                    submit(parsed.spec).also {
                        shared.complete(it)
                        if (it.status >= 400) Log.info("submission of $id answered ${it.status}: ${String(it.body)}")
                    }
                } finally {
                    submitting.remove(id)
                    shared.complete(busy("try again"))
                }
            }
        }
    }

    private suspend fun submit(spec: JobSpec): Response {
        view.final(spec.id)?.let { return state(spec.id, it.stage, it.tasks, 200) }
        val known = types()
        if (known.isEmpty()) return orKnown(spec.id) { busy("the machine types are not known yet") }
        val fits = fittingTypes(spec, known)
        impossible(spec, fits)?.let { reason -> return orKnown(spec.id) { Response.error(422, reason) } }
        if (cutOff()) return busy("the state service cannot be reached from here")
        if (!changes.open) return busy("too many submissions are waiting")
        val job = AcceptedJob(spec, 0, System.currentTimeMillis(), withdrawn = false, fits = fits)
        val json = Records.live(job)
        if (json.size > settings.valueKb * 1024) return orKnown(spec.id) { Response.error(400, "the description is too long") }
        val guards = listOf(Guard(Keys.live(spec.id), 0), Guard(Keys.final(spec.id), 0))
        return when (changes.write(guards, listOf(KeyWrite.Put(Keys.live(spec.id), json)))) {
            ChangeResult.APPLIED -> state(spec.id, Stage.PENDING, 0, 201)
            ChangeResult.CONFLICT -> orKnown(spec.id) { busy("try again") }
            ChangeResult.REFUSED -> busy("the state service does not take it now")
            ChangeResult.UNKNOWN -> orKnown(spec.id) { busy("not known yet whether it was accepted") }
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
    ): Response {
        val found = find(id) ?: return busy("the state service cannot be asked now")
        return if (found.known) found.response(200) else otherwise()
    }

    private inner class Found(
        val id: String,
        val stage: Stage?,
        val doneTasks: Int,
        val live: AcceptedJob?,
    ) {
        val known get() = stage != null

        fun response(status: Int) = state(id, stage!!, doneTasks, status)
    }

    /** Looks a job up, at the store's present. Null if the store cannot be asked. */
    private suspend fun find(id: String): Found? {
        view.final(id)?.let { return Found(id, it.stage, it.tasks, view.live[id]) }
        if (cutOff() || !view.current()) return null
        view.final(id)?.let { return Found(id, it.stage, it.tasks, view.live[id]) }
        view.live[id]?.let { return Found(id, if (it.withdrawn) Stage.WITHDRAWN else displayStage(id), progress(id)?.done ?: 0, it) }
        if (id in view.unreadable) return Found(id, Stage.PENDING, 0, null)
        return when (val r = store.get(Keys.final(id))) {
            is StoreResult.Ok -> {
                val final = r.value?.let { Records.parseFinal(it.data) }
                final?.let { view.remember(id, it) }
                Found(id, final?.stage, final?.tasks ?: 0, null)
            }

            else -> null
        }
    }

    private fun displayStage(id: String) = if ((progress(id)?.running ?: 0) > 0) Stage.RUNNING else Stage.PENDING

    suspend fun poll(id: String): Response {
        if (!JobCodec.isId(id)) return Response.error(404, "no such job")
        val found = find(id) ?: return busy("the state service cannot be asked now")
        return if (found.known) found.response(200) else Response.error(404, "no such job")
    }

    suspend fun abort(id: String): Response {
        if (!JobCodec.isId(id)) return Response.error(404, "no such job")
        repeat(ABORT_TRIES) {
            val found = find(id) ?: return busy("the state service cannot be asked now")
            if (!found.known) return Response.error(404, "no such job")
            if (found.stage == Stage.DONE || found.stage == Stage.WITHDRAWN) return found.response(200)
            val job = found.live ?: return busy("try again")
            val withdrawn = FinalState(Stage.WITHDRAWN, progress(id)?.done ?: 0)
            val guards = listOf(Guard(Keys.live(id), job.mark), Guard(Keys.final(id), 0))
            val writes =
                listOf(
                    KeyWrite.Put(Keys.final(id), Records.final(withdrawn)),
                    KeyWrite.Put(Keys.live(id), Records.live(job.copy(withdrawn = true))),
                )
            when (changes.write(guards, writes)) {
                ChangeResult.APPLIED -> {
                    view.remember(id, withdrawn)
                    return state(id, Stage.WITHDRAWN, withdrawn.tasks, 200)
                }

                ChangeResult.REFUSED -> return busy("the state service does not take it now")
                ChangeResult.CONFLICT, ChangeResult.UNKNOWN -> {}
            }
        }
        return busy("try again")
    }

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
