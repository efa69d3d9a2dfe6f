package mintfield.app.replica

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import mintfield.core.constants.StoreConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.jobs.JobListener
import mintfield.core.jobs.JobReplica
import mintfield.core.jobs.KnownJob
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/**
 * Keeps this process's [JobReplica] in step with the state service. The replica may lag behind; [current] brings it up to the time
 * of the call, with one request for all who wait.
 */
class JobReplicator(
    private val store: StoreClient,
    scope: CoroutineScope,
    /** Milliseconds between two checks for users. */
    checkGapMs: Long,
    private val nowMs: () -> Long,
    recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
) {
    private enum class CatchUp { CURRENT, HISTORY_LOST, NO_ANSWER }

    private val replica = JobReplica()
    private val reader = JobRecordReader(replica, recomputeCompatibleTypes)
    private val freshness = FreshnessCheck(scope, checkGapMs, ::check)
    private val predecessors = PredecessorResolver(store, scope, replica)

    /** The unfinished jobs, by id. */
    val live: Map<String, AcceptedJob> get() = replica.live

    /** Whether the jobs have been read. */
    val loaded: Boolean get() = replica.loaded

    /** Which unfinished jobs depend on which others. */
    val dependencies: DependencyGraph get() = replica.dependencies

    /** Notified of changes of jobs: one for each leader in this process. */
    val listeners = LinkedHashSet<JobListener>()

    /** Notified when the replica shows everything that had happened by a moment, in steady milliseconds. */
    var onComplete: (Long) -> Unit = {}

    init {
        replica.listener =
            object : JobListener {
                override fun changed(job: AcceptedJob) = listeners.forEach { it.changed(job) }

                override fun removed(id: String) = listeners.forEach { it.removed(id) }

                override fun becameReady(id: String) = listeners.forEach { it.becameReady(id) }

                override fun dependencyCancelled(id: String) = listeners.forEach { it.dependencyCancelled(id) }
            }
    }

    /** What this process knows of the job [id] now; null if nothing. */
    fun known(id: String): KnownJob? = replica.known(id)

    /** Keeps the final [state] of job [id], which the state service holds. */
    fun ended(
        id: String,
        state: FinalState,
    ) = replica.onJobEnded(id, state)

    /** True once the replica shows everything that had happened in the state service when this was called; false without an answer. */
    suspend fun current(): Boolean = freshness.await()

    /** Looks up the predecessors of job [id], direct and indirect, of which nothing is known; false if the state service does not answer. */
    suspend fun resolveBefore(id: String): Boolean = predecessors.resolveBefore(id)

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

    private suspend fun check(): Boolean {
        if (!loaded) return load()
        return when (catchUp(waitMs = 0)) {
            CatchUp.CURRENT -> true
            CatchUp.HISTORY_LOST -> check()
            CatchUp.NO_ANSWER -> false
        }
    }

    /** Applies all changes since the replica's revision, after waiting [waitMs] at the most for one to come. */
    private suspend fun catchUp(
        waitMs: Long,
        urgent: Boolean = false,
    ): CatchUp {
        val sentAtMs = nowMs()
        val after = replica.revision
        val changes = (store.watch(Keys.JOBS, after, waitMs, urgent) as? StoreResult.Ok)?.value ?: return CatchUp.NO_ANSWER
        if (changes.tooOld) {
            replica.historyCompacted(after)
            return CatchUp.HISTORY_LOST
        }
        replica.apply(changes.log.mapNotNull(reader::jobChange), changes.revision)
        predecessors.resolveAll()
        onComplete(sentAtMs)
        return CatchUp.CURRENT
    }

    /** Reads all unfinished jobs; changes after the first page come by the next watch. False without an answer. */
    private suspend fun load(): Boolean {
        val sentAtMs = nowMs()
        replica.beginSnapshot().use { snapshot ->
            var after: String? = null
            do {
                val page = (store.list(Keys.LIVE, after, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value ?: return false
                snapshot.addPage(page.revision, reader.records(page))
                after = page.entries.lastOrNull()?.key
            } while (page.hasNext && after != null)
            snapshot.complete()
        }
        predecessors.resolveAll()
        onComplete(sentAtMs)
        return true
    }
}
