package mintfield.app.replica

import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.core.constants.StoreConstants
import mintfield.core.constants.UserApiConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.jobs.JobChange
import mintfield.core.jobs.JobListener
import mintfield.core.jobs.JobRecord
import mintfield.core.jobs.JobReplica
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.io.loop.Log
import mintfield.io.store.Change
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.io.store.Page
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/**
 * Keeps this node's [JobReplica] by the store. The replica may lag; [current] brings it up to the time of the call, with
 * one request to the store for all who wait.
 */
class JobReplicator(
    private val store: StoreClient,
    private val scope: CoroutineScope,
    private val checkGapMs: Long,
    private val nowMs: () -> Long,
    private val recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
) {
    private enum class CatchUp { CURRENT, HISTORY_LOST, NO_ANSWER }

    private val replica = JobReplica()
    private var waiters = ArrayList<CompletableDeferred<Boolean>>()
    private var checking = false

    /** The unfinished jobs, by id. */
    val live: Map<String, AcceptedJob> get() = replica.live

    /** Whether the jobs have been read. */
    val loaded: Boolean get() = replica.loaded

    /** Told of jobs that change: the leaders here. */
    val listeners = LinkedHashSet<JobListener>()

    init {
        replica.listener =
            object : JobListener {
                override fun changed(job: AcceptedJob) = listeners.forEach { it.changed(job) }

                override fun removed(id: String) = listeners.forEach { it.removed(id) }

                override fun becameReady(id: String) = listeners.forEach { it.becameReady(id) }

                override fun dependencyCancelled(id: String) = listeners.forEach { it.dependencyCancelled(id) }
            }
    }

    /** Which unfinished jobs depend on which others. */
    val dependencies: DependencyGraph get() = replica.dependencies

    private var resolving = false

    /** Told when the view shows all that had happened by a moment, in steady milliseconds. */
    var onComplete: (Long) -> Unit = {}

    /** What this node knows of the job [id] now. */
    fun known(id: String): KnownJob? = replica.known(id)

    /** Keeps the final state of job [id], which the store holds. */
    fun ended(
        id: String,
        state: FinalState,
    ) = replica.ended(id, state)

    /** True once the view shows all that had happened in the store when this was called. */
    suspend fun current(): Boolean {
        val answer = CompletableDeferred<Boolean>()
        waiters.add(answer)
        if (!checking) {
            checking = true
            scope.launch { checkWhileWanted() }
        }
        return withTimeoutOrNull(UserApiConstants.QUERY_TIMEOUT_MS) { answer.await() } ?: false
    }

    private suspend fun checkWhileWanted() {
        try {
            while (waiters.isNotEmpty()) {
                // Only who waited before a check was sent may rest on it.
                val batch = waiters
                waiters = ArrayList()
                val ok =
                    try {
                        check()
                    } catch (e: CancellationException) {
                        throw e
                    } catch (e: RuntimeException) {
                        Log.error("check of the jobs failed: ${e.message}")
                        false
                    }
                batch.forEach { it.complete(ok) }
                if (waiters.isNotEmpty()) delay(checkGapMs)
            }
        } finally {
            checking = false
        }
    }

    private suspend fun check(): Boolean {
        if (!loaded) return load()
        return when (catchUp(waitMs = 0)) {
            CatchUp.CURRENT -> true
            CatchUp.HISTORY_LOST -> check()
            CatchUp.NO_ANSWER -> false
        }
    }

    /** Follows changes as they come, until cancelled. */
    suspend fun follow() {
        while (true) {
            if (!loaded && !load()) {
                delay(StoreConstants.STORE_RETRY_MS)
                continue
            }
            if (catchUp(StoreConstants.JOBS_WATCH_MS, urgent = true) == CatchUp.NO_ANSWER) delay(StoreConstants.STORE_RETRY_MS)
        }
    }

    /** Takes over all changes since the replica's revision, after waiting [waitMs] at the most for one to come. */
    private suspend fun catchUp(
        waitMs: Long,
        urgent: Boolean = false,
    ): CatchUp {
        val sentAtMs = nowMs()
        val after = replica.revision
        val changes = (store.watch(Keys.JOBS, after, waitMs, urgent) as? StoreResult.Ok)?.value ?: return CatchUp.NO_ANSWER
        if (changes.tooOld) {
            replica.historyLost(after)
            return CatchUp.HISTORY_LOST
        }
        replica.apply(changes.log.mapNotNull(::jobChange), changes.revision)
        resolvePredecessors()
        onComplete(sentAtMs)
        return CatchUp.CURRENT
    }

    /** Reads all unfinished jobs; changes after the first page come by the next watch. */
    private suspend fun load(): Boolean {
        val sentAtMs = nowMs()
        replica.beginSnapshot().use { snapshot ->
            var after: String? = null
            do {
                val page = (store.list(Keys.LIVE, after, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value ?: return false
                snapshot.page(page.revision, records(page))
                after = page.entries.lastOrNull()?.key
            } while (page.hasNext && after != null)
            snapshot.complete()
        }
        resolvePredecessors()
        onComplete(sentAtMs)
        return true
    }

    private fun records(page: Page): Map<String, JobRecord> =
        page.entries.associate { entry ->
            val id = entry.key.removePrefix(Keys.LIVE)
            id to record(id, entry.data, entry.revision)
        }

    private fun jobChange(change: Change): JobChange? {
        val data = change.data
        if (change.key.startsWith(Keys.LIVE)) {
            val id = change.key.removePrefix(Keys.LIVE)
            return if (data == null) JobChange.Removed(id, change.revision) else JobChange.Written(id, record(id, data, change.revision))
        }
        if (!change.key.startsWith(Keys.FINAL) || data == null) return null
        val state = FinalStateCodec.decode(data).valueOrNull ?: return null
        return JobChange.Ended(change.key.removePrefix(Keys.FINAL), change.revision, state)
    }

    /** Looks up how those predecessors ended that were over before this node read the jobs. */
    private fun resolvePredecessors() {
        if (resolving || dependencies.unresolved.isEmpty()) return
        resolving = true
        scope.launch {
            try {
                while (dependencies.unresolved.isNotEmpty()) {
                    if (!resolve(dependencies.unresolved.first())) delay(StoreConstants.STORE_RETRY_MS)
                }
            } finally {
                resolving = false
            }
        }
    }

    /** Looks up the predecessors of job [id], direct and through others, that it is not known of; false if that was not possible. */
    suspend fun resolveBefore(id: String): Boolean = dependencies.unresolvedBefore(id).all { resolve(it) }

    /** Reads the final state of the predecessor [id]; false without an answer. */
    private suspend fun resolve(id: String): Boolean {
        val found = store.get(Keys.final(id)) as? StoreResult.Ok ?: return false
        val state = found.value?.let { FinalStateCodec.decode(it.data).valueOrNull }
        if (state != null) {
            replica.ended(id, state)
        } else if (id in dependencies.unresolved) {
            // Its record may have come while the final state was read; if not, there is nothing to wait for and nothing to rely on.
            Log.error("$id, on which other jobs depend, has neither a record nor a final state that can be read: they wait")
            dependencies.unknown(id)
        }
        return true
    }

    /** One record that cannot be read must stop neither the others nor the answers about its own job. */
    private fun record(
        id: String,
        data: Map<String, Any?>,
        revision: Long,
    ): JobRecord {
        val job =
            try {
                JobRecordCodec.decode(data, revision, recomputeCompatibleTypes).valueOrNull
            } catch (e: RuntimeException) {
                Log.debug("$id: $e")
                null
            }
        if (job != null) return JobRecord.Readable(job)
        if (!replica.isUnreadable(id, revision)) Log.error("$id: its record of revision $revision cannot be read; it is kept and called pending")
        return JobRecord.Unreadable(revision)
    }
}
