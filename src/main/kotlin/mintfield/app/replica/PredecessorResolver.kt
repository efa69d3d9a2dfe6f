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

/** Looks up how those predecessors ended that had ended before this process read the unfinished jobs. */
internal class PredecessorResolver(
    private val store: StoreClient,
    private val scope: CoroutineScope,
    private val replica: JobReplica,
) {
    private var isRunning = false

    /** Looks up all predecessors that are unresolved, in the background; does nothing if that is under way. */
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

    /** Looks up the unresolved predecessors of job [id], direct and indirect; false if the state service does not answer. */
    suspend fun resolveBefore(id: String): Boolean = replica.dependencies.unresolvedBefore(id).all { resolve(it) }

    /** Reads the final state of the predecessor [id]; false without an answer. */
    private suspend fun resolve(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        val state = found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }
        if (state != null) {
            replica.onJobEnded(id, state)
        } else if (id in replica.dependencies.unresolved) {
            // Its record may have come while the final state was read; if not, nothing shows how it ended.
            Log.error("$id, on which other jobs depend, has neither a record nor a final state that can be read: they wait")
            replica.dependencies.recordMissing(id)
        }
        return true
    }
}
