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

/** What is known of the jobs that a submission names as its predecessors. */
sealed interface Predecessors {
    /** All were accepted. [unfinished] are not known to be done; [cancelled] tells whether one of all is known to be cancelled. */
    class Accepted(
        val unfinished: List<String>,
        val cancelled: Boolean,
    ) : Predecessors

    /** [id] had not been accepted at some moment since the question. */
    class NeverAccepted(
        val id: String,
    ) : Predecessors

    /** [id] is a service, which is never done. */
    class Service(
        val id: String,
    ) : Predecessors

    /** The store cannot be asked. */
    data object Unavailable : Predecessors
}

/** Looks up the predecessors that a submission names. */
class PredecessorLookup(
    private val store: StoreClient,
    private val replicator: JobReplicator,
) {
    /** What is known of [ids]. That one was accepted stays true, so the view need not be current unless it lacks one. */
    suspend fun find(ids: List<String>): Predecessors {
        ids.firstOrNull { !JobCodec.isId(it) }?.let { return Predecessors.NeverAccepted(it) }
        if (ids.any { replicator.known(it) == null } && !replicator.current()) return Predecessors.Unavailable
        for (id in ids) if (replicator.known(id) == null && !readFinalState(id)) return Predecessors.Unavailable
        val known = ids.associateWith { replicator.known(it) ?: return Predecessors.NeverAccepted(it) }
        known.entries.firstOrNull { isService(it.value) }?.let { return Predecessors.Service(it.key) }
        return Predecessors.Accepted(known.filterValues { !isDone(it) }.keys.toList(), known.any { isCancelled(it.key, it.value) })
    }

    /** Reads the final state of a job that the current view does not show; false without an answer. */
    private suspend fun readFinalState(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }?.let { replicator.ended(id, it) }
        return true
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
