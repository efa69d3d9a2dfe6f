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
 * Handles submissions of jobs: checks each one and records the job as accepted unless it was accepted before. Submissions are idempotent.
 * Must be used on the event loop only.
 */
class JobSubmissionService(
    private val admission: JobAdmission,
    private val replicator: JobReplicator,
    private val statuses: JobStatusService,
    private val userWrites: UserWriteBatcher,
    private val predecessors: PredecessorLookup,
    private val versions: VersionRecords,
    private val limits: StateLimitsInForce,
    /** Whether recent calls to the store got no response. Submissions are then refused at once instead of waiting for a timeout. */
    private val isStoreUnreachable: () -> Boolean,
) {
    /** The submissions in progress, by job id. Each entry completes when its submission has ended, with any result. */
    private val inProgress = HashMap<String, CompletableDeferred<Unit>>()

    /** Accepts the job in [request], or responds with its state if it was accepted before. */
    suspend fun submit(request: HttpMessage): Response =
        when (val parsed = JobCodec.parse(Json.parseObject(request.body))) {
            is JobCodec.Parsed.Invalid -> refuseInvalid(parsed)
            is JobCodec.Parsed.Valid -> submit(parsed.spec)
        }

    /** Refuses an invalid request, unless it names a job that was accepted before: the response is then the state of that job. */
    private suspend fun refuseInvalid(invalid: JobCodec.Parsed.Invalid): Response {
        val refusal = Response.error(HttpStatus.BAD_REQUEST, invalid.reason)
        return if (invalid.id == null) refusal else statuses.stateOrElse(invalid.id) { refusal }
    }

    private suspend fun submit(spec: JobSpec): Response {
        val earlier = inProgress[spec.id]
        return if (earlier == null) submitExclusively(spec) else submitAfter(earlier, spec)
    }

    /**
     * Handles a submission that arrives while an [earlier] one of the same job is in progress. It must not share the response of the
     * earlier one, which may contain a state read before this request arrived: another controller may have confirmed to a user since then
     * that the job is done or cancelled. The job is therefore looked up now, and again after the end of the earlier submission.
     */
    private suspend fun submitAfter(
        earlier: CompletableDeferred<Unit>,
        spec: JobSpec,
    ): Response =
        statuses.stateOrElse(spec.id) {
            earlier.await()
            statuses.stateOrElse(spec.id) { if (spec.id in inProgress) statuses.busy("it is being submitted") else submitExclusively(spec) }
        }

    /** Handles a submission while no other one of the same job is in progress, since one transaction must not write a key twice. */
    private suspend fun submitExclusively(spec: JobSpec): Response {
        val completion = CompletableDeferred<Unit>()
        inProgress[spec.id] = completion
        try {
            val response = checkAndAccept(spec)
            if (response.status >= HttpStatus.FIRST_ERROR) Log.info("job ${spec.id}: refused with ${response.status}: ${String(response.body)}")
            return response
        } finally {
            inProgress.remove(spec.id)
            completion.complete(Unit)
        }
    }

    private suspend fun checkAndAccept(spec: JobSpec): Response {
        (replicator.known(spec.id) as? KnownJob.Ended)?.let { return statuses.stateOf(spec.id, it) }
        return when (val result = admission.check(spec)) {
            JobAdmission.Result.TypesUnknown -> statuses.stateOrElse(spec.id) { statuses.busy("the machine types are not known yet") }
            is JobAdmission.Result.Infeasible -> refuseInfeasible(spec.id, result.reason)
            is JobAdmission.Result.Feasible -> acceptIfAvailable(spec, result.compatibleTypes)
        }
    }

    private suspend fun refuseInfeasible(
        id: String,
        reason: String,
    ): Response = statuses.stateOrElse(id) { Response.error(HttpStatus.UNPROCESSABLE_CONTENT, reason) }

    private suspend fun acceptIfAvailable(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response =
        when {
            isStoreUnreachable() -> statuses.busy("the state service cannot be reached from here")
            !userWrites.hasCapacity -> statuses.busy("too many submissions are waiting")
            spec.predecessors.isEmpty() -> accept(spec, compatibleTypes)
            else -> acceptDependent(spec, compatibleTypes)
        }

    /** Accepts a job with predecessors. If the job was accepted before, the response does not depend on the present state of its predecessors. */
    private suspend fun acceptDependent(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        if (!versions.allRun(Generation.DEPENDENCIES)) return statuses.stateOrElse(spec.id) { statuses.busy("a controller still runs an earlier version") }
        return when (val found = predecessors.find(spec.predecessors)) {
            is Predecessors.NeverAccepted -> refuseInfeasible(spec.id, "${JobFields.PREDECESSORS}: ${found.id} was never accepted")
            is Predecessors.Service -> refuseInfeasible(spec.id, "${JobFields.PREDECESSORS}: ${found.id} is a service, which is never done")
            Predecessors.Unavailable -> statuses.storeUnavailable()
            is Predecessors.Accepted ->
                if (found.cancelled) acceptCancelled(spec.id) else accept(spec.copy(predecessors = found.unfinished), compatibleTypes)
        }
    }

    /** Records a job as accepted, unless it was accepted before. */
    private suspend fun accept(
        spec: JobSpec,
        compatibleTypes: List<String>,
    ): Response {
        val job = AcceptedJob(spec, revision = 0, System.currentTimeMillis(), cancelled = false, compatibleTypes)
        val record = JobRecordCodec.encode(job)
        if (record.size > limits.lowest.valueBytes) {
            return statuses.stateOrElse(spec.id) { Response.error(HttpStatus.BAD_REQUEST, "the description is too long") }
        }
        return write(spec.id, KeyWrite.Put(Keys.live(spec.id), record)) { statuses.accepted(spec.id) }
    }

    /** Records a job as accepted and cancelled, because a job that it depends on is cancelled. */
    private suspend fun acceptCancelled(id: String): Response {
        val cancelled = FinalState(JobPhase.CANCELLED, doneTasks = 0, System.currentTimeMillis())
        return write(id, KeyWrite.Put(Keys.final(id), FinalStateCodec.encode(cancelled))) {
            replicator.onJobEnded(id, cancelled)
            statuses.acceptedAsCancelled(id)
        }
    }

    private suspend inline fun write(
        id: String,
        record: KeyWrite,
        applied: () -> Response,
    ): Response {
        val preconditions = listOf(Precondition(Keys.live(id), 0), Precondition(Keys.final(id), 0))
        return when (userWrites.write(preconditions, listOf(record))) {
            WriteResult.APPLIED -> applied()
            WriteResult.CONFLICT -> statuses.stateOrElse(id) { statuses.busy("try again") }
            WriteResult.REFUSED -> statuses.busy("the state service does not take it now")
            WriteResult.UNKNOWN -> statuses.stateOrElse(id) { statuses.busy("not known yet whether it was accepted") }
        }
    }
}
