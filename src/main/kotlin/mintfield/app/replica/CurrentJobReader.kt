package mintfield.app.replica

import mintfield.core.jobs.KnownJob
import mintfield.io.loop.Log
import mintfield.io.store.Decoded
import mintfield.io.store.Entry
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/**
 * Looks up jobs as of a moment after the call (linearizable reads). The replica of a controller that does not lead is as old as the last
 * lookup, without a bound, so every response to a user that depends on the state of a job must be derived from a lookup made here after
 * the arrival of the request. Must be used on the event loop only.
 */
class CurrentJobReader(
    private val store: StoreClient,
    private val replicator: JobReplicator,
    /** Whether recent calls to the store got no response. Lookups then fail at once instead of waiting for a timeout. */
    private val isStoreUnreachable: () -> Boolean,
) {
    /** Looks up job [id]. */
    suspend fun lookUp(id: String): JobLookup = lookUpAll(listOf(id)).getValue(id)

    /**
     * Looks up the jobs [ids] with one read of the changes of jobs; without any read if the final states of all are cached, since final
     * states never change.
     */
    suspend fun lookUpAll(ids: Collection<String>): Map<String, JobLookup> {
        val isCurrent = ids.all { replicator.known(it) is KnownJob.Ended } || (!isStoreUnreachable() && replicator.awaitCurrent())
        return ids.associateWith { if (isCurrent) lookUpInCurrentReplica(it) else JobLookup.Unavailable }
    }

    private suspend fun lookUpInCurrentReplica(id: String): JobLookup {
        val known = replicator.known(id)
        return when {
            known is KnownJob.Ended -> JobLookup.Found(known)
            // Whether an unfinished job is cancelled also depends on the ends of its direct and indirect predecessors.
            !replicator.resolvePredecessorsOf(id) -> JobLookup.Unavailable
            else -> readableJob(id)?.let { JobLookup.Found(it) } ?: readFinalState(id)
        }
    }

    private fun readableJob(id: String): KnownJob? = replicator.known(id)?.takeIf { it is KnownJob.Ended || it is KnownJob.Live }

    /** Reads the final state of a job without a readable live record: it may have ended long ago. */
    private suspend fun readFinalState(id: String): JobLookup {
        val read = store.get(Keys.final(id)) as? StoreResult.Ok ?: return JobLookup.Unavailable
        val recorded = read.value?.let { finalState(id, it) } ?: replicator.known(id)
        return if (recorded == null) JobLookup.NotFound else JobLookup.Found(recorded)
    }

    /** Decodes the final state in [entry]. If it cannot be decoded the job counts as accepted, but neither as done nor as cancelled. */
    private fun finalState(
        id: String,
        entry: Entry,
    ): KnownJob =
        when (val decoded = FinalStateCodec.decode(entry.data)) {
            is Decoded.Valid -> {
                replicator.onJobEnded(id, decoded.value)
                KnownJob.Ended(decoded.value)
            }
            is Decoded.Invalid -> {
                Log.error("job $id: cannot decode final state of revision ${entry.revision}; record kept, job reported as pending")
                KnownJob.Unreadable
            }
        }
}
