package mintfield.app.api

import kotlinx.coroutines.CompletableDeferred
import mintfield.app.replica.JobReplicator
import mintfield.app.upgrade.VersionRecords
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.StateLimitsInForce
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.Log
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.Precondition
import mintfield.io.worker.JobCodec
import mintfield.io.worker.JobFields

/**
 * Submissions of jobs, which are idempotent: each is checked and, unless the job is known already, recorded as accepted. Runs on the
 * event loop.
 */
class JobSubmissionService(
    private val admission: JobAdmission,
    private val replicator: JobReplicator,
    private val answers: JobStatusService,
    private val changes: UserWriteBatcher,
    private val predecessors: PredecessorLookup,
    private val versions: VersionRecords,
    private val limits: StateLimitsInForce,
    /** Whether the store has not been reached for a while, so that asking it would only make the user wait. */
    private val cutOff: () -> Boolean,
) {
    /** The submissions in progress, by job; each completes when it has ended, with whatever result. */
    private val inProgress = HashMap<String, CompletableDeferred<Unit>>()

    /** Accepts a job, or gives the state of one that was accepted before. */
    suspend fun submit(request: HttpMessage): Response =
        when (val parsed = JobCodec.parse(Json.parseObject(request.body))) {
            is JobCodec.Parsed.Invalid -> refuseInvalid(parsed)
            is JobCodec.Parsed.Valid -> submit(parsed.spec)
        }

    /** An invalid request that names a job which was accepted before gets that job's state all the same. */
    private suspend fun refuseInvalid(invalid: JobCodec.Parsed.Invalid): Response {
        val refusal = Response.error(HttpStatus.BAD_REQUEST, invalid.reason)
        return if (invalid.id == null) refusal else answers.existingOr(invalid.id) { refusal }
    }

    private suspend fun submit(spec: JobSpec): Response {
        val earlier = inProgress[spec.id]
        return if (earlier == null) submitAlone(spec) else submitAfter(earlier, spec)
    }

    /**
     * A submission that comes while another one of the same job is in progress. It must not share that one's response, which may rest
     * on what was true before this request came: another controller may have reported since that the job is done or cancelled. So the
     * job is looked up anew, now and again once the other one has ended.
     */
    private suspend fun submitAfter(
        earlier: CompletableDeferred<Unit>,
        spec: JobSpec,
    ): Response =
        answers.existingOr(spec.id) {
            earlier.await()
            answers.existingOr(spec.id) { if (spec.id in inProgress) answers.busy("it is being submitted") else submitAlone(spec) }
        }

    /** One submission of a job at a time, since one transaction must not write a key twice. */
    private suspend fun submitAlone(spec: JobSpec): Response {
        val ended = CompletableDeferred<Unit>()
        inProgress[spec.id] = ended
        try {
            val response = checkAndAccept(spec)
            if (response.status >= HttpStatus.FIRST_ERROR) Log.info("submission of ${spec.id} answered ${response.status}: ${String(response.body)}")
            return response
        } finally {
            inProgress.remove(spec.id)
            ended.complete(Unit)
        }
    }

    private suspend fun checkAndAccept(spec: JobSpec): Response {
        (replicator.known(spec.id) as? KnownJob.Ended)?.let { return answers.answer(spec.id, it) }
        return when (val result = admission.check(spec)) {
            JobAdmission.Result.TypesUnknown -> answers.existingOr(spec.id) { answers.busy("the machine types are not known yet") }
            is JobAdmission.Result.Impossible -> refuseImpossible(spec.id, result.reason)
            is JobAdmission.Result.Possible -> acceptIfOpen(spec, result.compatibleTypes)
        }
    }

    private suspend fun refuseImpossible(
        id: String,
        reason: String,
    ): Response = answers.existingOr(id) { Response.error(HttpStatus.UNPROCESSABLE_CONTENT, reason) }

    private suspend fun acceptIfOpen(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response =
        when {
            cutOff() -> answers.busy("the state service cannot be reached from here")
            !changes.hasRoom -> answers.busy("too many submissions are waiting")
            spec.predecessors.isEmpty() -> accept(spec, compatibleTypes)
            else -> acceptDependent(spec, compatibleTypes)
        }

    /** A job that depends on others. If it is known already, its state does not depend on what has become of those since. */
    private suspend fun acceptDependent(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        if (!versions.allHave(Generation.DEPENDENCIES)) return answers.existingOr(spec.id) { answers.busy("a controller still runs an earlier version") }
        return when (val found = predecessors.find(spec.predecessors)) {
            is Predecessors.NeverAccepted -> refuseImpossible(spec.id, "${JobFields.PREDECESSORS}: ${found.id} was never accepted")
            is Predecessors.Service -> refuseImpossible(spec.id, "${JobFields.PREDECESSORS}: ${found.id} is a service, which is never done")
            Predecessors.Unavailable -> answers.storeUnavailable()
            is Predecessors.Accepted ->
                if (found.cancelled) acceptCancelled(spec.id) else accept(spec.copy(predecessors = found.unfinished), compatibleTypes)
        }
    }

    /** Records that a job is accepted, unless it was accepted before. */
    private suspend fun accept(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        val job = AcceptedJob(spec, revision = 0, System.currentTimeMillis(), cancelled = false, compatibleTypes)
        val record = JobRecordCodec.encode(job)
        if (record.size > limits.lowest.valueBytes) {
            return answers.existingOr(spec.id) { Response.error(HttpStatus.BAD_REQUEST, "the description is too long") }
        }
        return write(spec.id, KeyWrite.Put(Keys.live(spec.id), record)) { answers.accepted(spec.id) }
    }

    /** Records that a job is accepted and, as one that it depends on is cancelled, cancelled. */
    private suspend fun acceptCancelled(id: String): Response {
        val cancelled = FinalState(JobPhase.CANCELLED, doneTasks = 0, System.currentTimeMillis())
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
}
