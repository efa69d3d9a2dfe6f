package mintfield.app.api

import kotlinx.coroutines.CompletableDeferred
import mintfield.app.replica.JobReplicator
import mintfield.app.upgrade.VersionRecords
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.Shape
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.compatibleMachineTypes
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.Log
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Precondition
import mintfield.io.worker.JobCodec

/** Submissions of jobs: each is checked and, unless the job is known already, recorded as accepted. */
class JobSubmissionService(
    private val settings: Settings,
    private val replicator: JobReplicator,
    private val answers: JobStatusService,
    private val changes: UserWriteBatcher,
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
        when (val parsed = JobCodec.parse(Json.parseObject(request.body))) {
            is JobCodec.Parsed.Invalid -> {
                val refusal = Response.error(400, parsed.reason)
                if (parsed.id == null) refusal else answers.existingOr(parsed.id) { refusal }
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
        answers.existingOr(spec.id) {
            earlier.await()
            answers.existingOr(spec.id) { if (spec.id in submitting) answers.busy("it is being submitted") else submitAlone(spec) }
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
        (replicator.known(spec.id) as? KnownJob.Ended)?.let { return answers.answer(spec.id, it) }
        val known = types()
        if (known.isEmpty()) return answers.existingOr(spec.id) { answers.busy("the machine types are not known yet") }
        val compatibleTypes = compatibleMachineTypes(spec, known)
        impossible(spec, compatibleTypes)?.let { reason -> return answers.existingOr(spec.id) { Response.error(422, reason) } }
        if (cutOff()) return answers.busy("the state service cannot be reached from here")
        if (!changes.open) return answers.busy("too many submissions are waiting")
        return if (spec.predecessors.isEmpty()) accept(spec, compatibleTypes) else submitDependent(spec, compatibleTypes)
    }

    /** A job that depends on others. The state of one that is known already does not depend on what has become of those. */
    private suspend fun submitDependent(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        if (!versions.allHave(Generation.DEPENDENCIES)) return answers.existingOr(spec.id) { answers.busy("a controller still runs an earlier version") }
        return when (val found = predecessors.find(spec.predecessors)) {
            is Predecessors.NeverAccepted -> answers.existingOr(spec.id) { Response.error(422, "awaits: ${found.id} was never accepted") }
            is Predecessors.Service -> answers.existingOr(spec.id) { Response.error(422, "awaits: ${found.id} is a service, which is never done") }
            Predecessors.Unavailable -> answers.busy("the state service cannot be asked now")
            is Predecessors.Accepted ->
                if (found.cancelled) acceptCancelled(spec.id) else accept(spec.copy(predecessors = found.unfinished), compatibleTypes)
        }
    }

    /** Writes that a job is accepted, unless it has been before. */
    private suspend fun accept(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        val json = JobRecordCodec.encode(AcceptedJob(spec, 0, System.currentTimeMillis(), cancelled = false, compatibleTypes = compatibleTypes))
        if (json.size > limits.lowest.valueBytes) return answers.existingOr(spec.id) { Response.error(400, "the description is too long") }
        return write(spec.id, KeyWrite.Put(Keys.live(spec.id), json)) { answers.accepted(spec.id) }
    }

    /** Writes that a job is accepted and, since one that it depends on is cancelled, cancelled. */
    private suspend fun acceptCancelled(id: String): Response {
        val cancelled = FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis())
        return write(id, KeyWrite.Put(Keys.final(id), FinalStateCodec.encode(cancelled))) {
            replicator.ended(id, cancelled)
            answers.acceptedAsCancelled(id)
        }
    }

    private suspend inline fun write(
        id: String,
        record: KeyWrite,
        applied: () -> Response,
    ): Response {
        val preconditions = listOf(Precondition(Keys.live(id), 0), Precondition(Keys.final(id), 0))
        return when (changes.write(preconditions, listOf(record))) {
            WriteResult.APPLIED -> applied()
            WriteResult.CONFLICT -> answers.existingOr(id) { answers.busy("try again") }
            WriteResult.REFUSED -> answers.busy("the state service does not take it now")
            WriteResult.UNKNOWN -> answers.existingOr(id) { answers.busy("not known yet whether it was accepted") }
        }
    }

    private fun impossible(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): String? {
        val team = settings.teams.firstOrNull { it.name == spec.team } ?: return "crew: unknown team ${spec.team}"
        if (compatibleTypes.isEmpty()) return "a task fits no allowed machine type"
        val atOnce = if (spec.shape == Shape.ARRAY) 1 else spec.tasks // a gang or a service needs all of its tasks at once
        if (team.cpusMax > 0 && spec.cpus * atOnce > team.cpusMax) return "more CPUs than the limit of ${team.name}"
        if (team.gpusMax > 0 && spec.gpus * atOnce > team.gpusMax) return "more cards than the limit of ${team.name}"
        return null
    }
}
