package mintfield.app.api

import mintfield.app.replica.CurrentJobReader
import mintfield.app.replica.JobLookup
import mintfield.app.replica.JobReplicator
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.core.model.Shape
import mintfield.io.loop.Log
import mintfield.io.worker.JobCodec

/** Looks up the predecessors that a submission names, as of a moment after the call. Must be used on the event loop only. */
class PredecessorLookup(
    private val jobs: CurrentJobReader,
    private val replicator: JobReplicator,
    private val nowMs: () -> Long,
) {
    /** Classifies the jobs [ids]. */
    suspend fun find(ids: List<String>): Predecessors {
        val malformed = ids.firstOrNull { !JobCodec.isId(it) }
        return if (malformed != null) Predecessors.NeverAccepted(malformed) else classify(jobs.lookUpAll(ids))
    }

    private fun classify(lookups: Map<String, JobLookup>): Predecessors {
        val neverAccepted = lookups.entries.firstOrNull { it.value is JobLookup.NotFound }
        return when {
            lookups.values.any { it is JobLookup.Unavailable } -> Predecessors.Unavailable
            neverAccepted != null -> Predecessors.NeverAccepted(neverAccepted.key)
            else -> classifyAccepted(lookups.mapValues { (id, lookup) -> replicator.known(id) ?: (lookup as JobLookup.Found).job })
        }
    }

    private fun classifyAccepted(jobs: Map<String, KnownJob>): Predecessors {
        Log.info("predecessors ${jobs.map { (id, job) -> "$id ${describe(job)}" }}, as of ${replicator.currentAtMs?.let { nowMs() - it }} ms ago")
        val service = jobs.entries.firstOrNull { isService(it.value) }
        if (service != null) return Predecessors.Service(service.key)
        return Predecessors.Accepted(
            unfinished = jobs.filterValues { !isDone(it) }.keys.toList(),
            cancelled = jobs.values.any(::isCancelled),
        )
    }

    private fun isService(job: KnownJob) = job is KnownJob.Live && job.job.spec.shape == Shape.SERVICE

    private fun isDone(job: KnownJob) = job is KnownJob.Ended && job.state.phase == JobPhase.DONE

    private fun isCancelled(job: KnownJob) =
        when (job) {
            is KnownJob.Ended -> job.state.phase == JobPhase.CANCELLED
            is KnownJob.Live -> replicator.isCancelled(job)
            KnownJob.Unreadable -> false
        }

    private fun describe(job: KnownJob): String =
        when {
            isDone(job) -> "done"
            isCancelled(job) -> "cancelled"
            else -> "unfinished"
        }
}
