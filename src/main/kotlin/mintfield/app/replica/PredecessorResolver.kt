package mintfield.app.replica

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.core.constants.StoreConstants
import mintfield.core.jobs.JobReplica
import mintfield.io.loop.Log
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/** Reads the final states of predecessors that had ended before this process read the unfinished jobs. */
internal class PredecessorResolver(
    private val store: StoreClient,
    private val scope: CoroutineScope,
    private val replica: JobReplica,
) {
    private var isRunning = false

    /** Looks up all unresolved predecessors in the background; does nothing if a lookup is already running. */
    fun resolveAll() {
        if (isRunning || replica.dependencies.unresolved.isEmpty()) return
        isRunning = true
        scope.launch {
            try {
                val unresolved = replica.dependencies.unresolved
                while (unresolved.isNotEmpty()) {
                    if (!resolve(unresolved.first())) delay(StoreConstants.STORE_RETRY_MS)
                }
            } finally {
                isRunning = false
            }
        }
    }

    /** Looks up the direct and indirect predecessors of job [id] that are unresolved; false if the store does not respond. */
    suspend fun resolvePredecessorsOf(id: String): Boolean = replica.dependencies.unresolvedBefore(id).all { resolve(it) }

    /** Reads the final state of the predecessor [id]; false if the store does not respond. */
    private suspend fun resolve(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        val state = found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }
        if (state != null) {
            replica.onJobEnded(id, state)
        } else if (id in replica.dependencies.unresolved) {
            // The job's record may have arrived while its final state was read. If not, it is unknown how the job ended.
            Log.error("$id: neither a record nor a readable final state found; the jobs that depend on it wait")
            replica.dependencies.recordMissing(id)
        }
        return true
    }
}
