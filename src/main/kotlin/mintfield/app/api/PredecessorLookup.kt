package mintfield.app.api

import mintfield.app.replica.JobReplicator
import mintfield.core.jobs.KnownJob
import mintfield.core.model.JobPhase
import mintfield.core.model.Shape
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.worker.JobCodec

/** Looks up the predecessors that a submission names. Runs on the event loop. */
class PredecessorLookup(
    private val store: StoreClient,
    private val replicator: JobReplicator,
) {
    /** What is known of [ids]. That a job was accepted stays true, so the replica need not be current unless it lacks one of them. */
    suspend fun find(ids: List<String>): Predecessors {
        val malformed = ids.firstOrNull { !JobCodec.isId(it) }
        return when {
            malformed != null -> Predecessors.NeverAccepted(malformed)
            !bringIn(ids) -> Predecessors.Unavailable
            else -> classify(ids)
        }
    }

    /** Makes the replica know [ids], as far as they were accepted; false if the store cannot be asked. */
    private suspend fun bringIn(ids: List<String>): Boolean {
        if (ids.any { replicator.known(it) == null } && !replicator.awaitCurrent()) return false
        return ids.all { replicator.known(it) != null || readFinalState(it) }
    }

    /** Reads the final state of a job that the current replica does not hold; false without a response. */
    private suspend fun readFinalState(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }?.let { replicator.ended(id, it) }
        return true
    }

    private fun classify(ids: List<String>): Predecessors {
        val known = ids.associateWith { replicator.known(it) ?: return Predecessors.NeverAccepted(it) }
        known.entries.firstOrNull { isService(it.value) }?.let { return Predecessors.Service(it.key) }
        return Predecessors.Accepted(
            unfinished = known.filterValues { !isDone(it) }.keys.toList(),
            cancelled = known.any { isCancelled(it.key, it.value) },
        )
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
