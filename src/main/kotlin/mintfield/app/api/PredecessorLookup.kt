package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.core.model.Shape
import mintfield.io.loop.Log
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobCodec

/** Looks up the predecessors that a submission names. Must be used on the event loop only. */
class PredecessorLookup(
    private val store: StoreClient,
    private val replicator: JobReplicator,
    private val nowMs: () -> Long,
) {
    /** Classifies the jobs [ids]. An accepted job remains accepted, so the replica must be brought up to date only if it lacks one of them. */
    suspend fun find(ids: List<String>): Predecessors {
        val malformed = ids.firstOrNull { !JobCodec.isId(it) }
        return when {
            malformed != null -> Predecessors.NeverAccepted(malformed)
            !loadAll(ids) -> Predecessors.Unavailable
            else -> classify(ids)
        }
    }

    /** Loads those of the jobs [ids] that were accepted into the replica; false if the store cannot be read. */
    private suspend fun loadAll(ids: List<String>): Boolean {
        if (ids.any { replicator.known(it) == null } && !replicator.awaitCurrent()) return false
        return ids.all { replicator.known(it) != null || readFinalState(it) }
    }

    /** Loads the final state of a job that the up-to-date replica does not contain, if it has one; false without a response from the store. */
    private suspend fun readFinalState(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }?.let { replicator.onJobEnded(id, it) }
        return true
    }

    private fun classify(ids: List<String>): Predecessors {
        Log.info("predecessors $ids: ${ids.map(::describe)} as of ${replicator.currentAtMs?.let { nowMs() - it }} ms ago")
        val known = ids.associateWith { replicator.known(it) ?: return Predecessors.NeverAccepted(it) }
        known.entries.firstOrNull { isService(it.value) }?.let { return Predecessors.Service(it.key) }
        return Predecessors.Accepted(
            unfinished = known.filterValues { !isDone(it) }.keys.toList(),
            cancelled = known.any { isCancelled(it.key, it.value) },
        )
    }

    private fun describe(id: String): String =
        when (val job = replicator.known(id)) {
            is KnownJob.Ended -> job.state.phase.name
            is KnownJob.Live -> if (isCancelled(id, job)) "being cancelled" else "unfinished"
            KnownJob.Unreadable -> "unreadable"
            null -> "never accepted"
        }

    private fun isService(job: KnownJob) = job is KnownJob.Live && job.job.spec.shape == Shape.SERVICE

    private fun isDone(job: KnownJob) = job is KnownJob.Ended && job.state.phase == JobPhase.DONE

    private fun isCancelled(
        id: String,
        job: KnownJob,
    ) = when (job) {
        is KnownJob.Ended -> job.state.phase == JobPhase.CANCELLED
        is KnownJob.Live -> job.job.cancelled || replicator.dependencies.isCancelledByDependency(id)
        KnownJob.Unreadable -> false
    }
}
