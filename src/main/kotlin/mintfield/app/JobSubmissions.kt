package mintfield.app

import kotlinx.coroutines.CompletableDeferred
import mintfield.app.pipelines.PredecessorLookup
import mintfield.app.pipelines.Predecessors
import mintfield.app.upgrade.VersionRecords
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
import mintfield.io.store.Guard
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Records
import mintfield.io.worker.JobCodec

/** Submissions of jobs: each is checked and, unless the job is known already, recorded as accepted. */
class JobSubmissions(
    private val settings: Settings,
    private val view: JobView,
    private val answers: JobAnswers,
    private val changes: ChangeWriter,
    private val predecessors: PredecessorLookup,
    private val versions: VersionRecords,
    private val limits: StateLimitsInForce,
    private val types: () -> Collection<MachineType>,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean,
) {
    /** The submissions under way, by job; each completes when it has ended, however that was. */
    private val submitting = HashMap<String, CompletableDeferred<Unit>>()

    /** Accepts a job, or tells the state of one that was accepted before. */
    suspend fun submit(request: HttpMessage): Response =
        when (val parsed = JobCodec.parse(Json.parse(request.body))) {
            is JobCodec.Parsed.Invalid -> {
                val refusal = Response.error(400, parsed.reason)
                if (parsed.id == null) refusal else answers.orKnown(parsed.id) { refusal }
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
        answers.orKnown(spec.id) {
            earlier.await()
            answers.orKnown(spec.id) { if (spec.id in submitting) answers.busy("it is being submitted") else submitAlone(spec) }
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
        (view.known(spec.id) as? KnownJob.Ended)?.let { return answers.answer(spec.id, it) }
        val known = types()
        if (known.isEmpty()) return answers.orKnown(spec.id) { answers.busy("the machine types are not known yet") }
        val fits = fittingTypes(spec, known)
        impossible(spec, fits)?.let { reason -> return answers.orKnown(spec.id) { Response.error(422, reason) } }
        if (cutOff()) return answers.busy("the state service cannot be reached from here")
        if (!changes.open) return answers.busy("too many submissions are waiting")
        return if (spec.predecessors.isEmpty()) accept(spec, fits) else submitDependent(spec, fits)
    }

    /** A job that depends on others. The state of one that is known already does not depend on what has become of those. */
    private suspend fun submitDependent(
        spec: JobSpec,
        fits: List<String>,
    ): Response {
        if (!versions.allHave(Generation.DEPENDENCIES)) return answers.orKnown(spec.id) { answers.busy("a controller still runs an earlier version") }
        return when (val found = predecessors.find(spec.predecessors)) {
            is Predecessors.NeverAccepted -> answers.orKnown(spec.id) { Response.error(422, "awaits: ${found.id} was never accepted") }
            is Predecessors.Service -> answers.orKnown(spec.id) { Response.error(422, "awaits: ${found.id} is a service, which is never done") }
            Predecessors.Unavailable -> answers.busy("the state service cannot be asked now")
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
        if (json.size > limits.lowest.valueBytes) return answers.orKnown(spec.id) { Response.error(400, "the description is too long") }
        return write(spec.id, KeyWrite.Put(Keys.live(spec.id), json)) { answers.accepted(spec.id) }
    }

    /** Writes that a job is accepted and, since one that it depends on is cancelled, withdrawn. */
    private suspend fun acceptWithdrawn(id: String): Response {
        val withdrawn = FinalState(Stage.WITHDRAWN, 0, System.currentTimeMillis())
        return write(id, KeyWrite.Put(Keys.final(id), Records.final(withdrawn))) {
            view.ended(id, withdrawn)
            answers.acceptedWithdrawn(id)
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
            ChangeResult.CONFLICT -> answers.orKnown(id) { answers.busy("try again") }
            ChangeResult.REFUSED -> answers.busy("the state service does not take it now")
            ChangeResult.UNKNOWN -> answers.orKnown(id) { answers.busy("not known yet whether it was accepted") }
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
}
