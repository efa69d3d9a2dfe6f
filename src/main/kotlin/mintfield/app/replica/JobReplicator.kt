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
 * Keeps this process's [JobReplica] in sync with the store. The replica may lag behind; [awaitCurrent] brings it up to date with
 * the time of the call, with one request for all waiting callers.
 */
class JobReplicator(
    private val store: StoreClient,
    scope: CoroutineScope,
    /** Time between two freshness checks on behalf of users, in milliseconds. */
    checkGapMs: Long,
    private val nowMs: () -> Long,
    /** Called with the duration of each read of the store on behalf of users, in milliseconds. */
    private val onUserRead: (Long) -> Unit,
    recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
) {
    private enum class CatchUp { CURRENT, HISTORY_LOST, NO_RESPONSE }

    private val replica = JobReplica()
    private val reader = JobRecordReader(replica, recomputeCompatibleTypes)
    private val freshness = FreshnessCheck(scope, checkGapMs, ::timedCheck)
    private val predecessors = PredecessorResolver(store, scope, replica)

    /** The unfinished jobs, by id. */
    val unfinishedJobs: Map<String, AcceptedJob> get() = replica.unfinishedJobs

    /** Whether all unfinished jobs have been read from the store. */
    val isLoaded: Boolean get() = replica.isLoaded

    /** The dependencies of the unfinished jobs. */
    val dependencies: DependencyGraph get() = replica.dependencies

    /** Listeners for job changes: one for each leader in this process. */
    val listeners = LinkedHashSet<JobListener>()

    /** The time, in milliseconds of the monotonic clock, up to which the replica shows every change; null before the first read. */
    var currentAtMs: Long? = null
        private set

    /** Called with the time at which a read was sent, in milliseconds of the monotonic clock, once its changes are applied. */
    var onComplete: (Long) -> Unit = {}

    init {
        replica.listener =
            object : JobListener {
                override fun onJobChanged(job: AcceptedJob) = listeners.forEach { it.onJobChanged(job) }

                override fun onJobRemoved(id: String) = listeners.forEach { it.onJobRemoved(id) }

                override fun becameReady(id: String) = listeners.forEach { it.becameReady(id) }

                override fun dependencyCancelled(id: String) = listeners.forEach { it.dependencyCancelled(id) }
            }
    }

    /** The state of job [id] in the replica, which may lag behind; null if the job is unknown. */
    fun known(id: String): KnownJob? = replica.known(id)

    /** Whether a job is cancelled, by its user or because a job that it depends on is cancelled, even if its record does not state it yet. */
    fun isCancelled(known: KnownJob.Live): Boolean = known.job.cancelled || dependencies.isCancelledByDependency(known.job.spec.id)

    /** Records the final [state] of job [id], which must be committed to the store already. */
    fun onJobEnded(
        id: String,
        state: FinalState,
    ) = replica.onJobEnded(id, state)

    /** Waits until the replica shows every change made in the store before the call; false if the store does not respond. */
    suspend fun awaitCurrent(): Boolean = freshness.await()

    /** Looks up the direct and indirect predecessors of job [id] that are unresolved; false if the store does not respond. */
    suspend fun resolvePredecessorsOf(id: String): Boolean = predecessors.resolvePredecessorsOf(id)

    /** Applies changes as the store publishes them, until cancelled. */
    suspend fun follow() {
        while (true) {
            if (!isLoaded && !load()) {
                delay(StoreConstants.STORE_RETRY_MS)
                continue
            }
            if (catchUp(StoreConstants.JOBS_WATCH_MS, urgent = true) == CatchUp.NO_RESPONSE) delay(StoreConstants.STORE_RETRY_MS)
        }
    }

    private suspend fun timedCheck(): Boolean {
        val sentAtMs = nowMs()
        return check().also { onUserRead(nowMs() - sentAtMs) }
    }

    private suspend fun check(): Boolean {
        if (!isLoaded) return load()
        return when (catchUp(waitMs = 0)) {
            CatchUp.CURRENT -> true
            CatchUp.HISTORY_LOST -> check()
            CatchUp.NO_RESPONSE -> false
        }
    }

    /** Applies all changes since the replica's revision. Waits at most [waitMs] for the first one. */
    private suspend fun catchUp(
        waitMs: Long,
        urgent: Boolean = false,
    ): CatchUp {
        val sentAtMs = nowMs()
        val after = replica.revision
        val changes = (store.watch(Keys.JOBS, after, waitMs, urgent) as? StoreResult.Ok)?.value ?: return CatchUp.NO_RESPONSE
        if (changes.tooOld) {
            replica.historyCompacted(after)
            return CatchUp.HISTORY_LOST
        }
        replica.apply(changes.log.mapNotNull(reader::jobChange), changes.revision)
        predecessors.resolveAll()
        readCompleted(sentAtMs)
        return CatchUp.CURRENT
    }

    /** Records that a read that was sent at [sentAtMs] was applied. Concurrent reads may complete in any order. */
    private fun readCompleted(sentAtMs: Long) {
        currentAtMs = maxOf(sentAtMs, currentAtMs ?: sentAtMs)
        onComplete(sentAtMs)
    }

    /** Reads all unfinished jobs; false if the store does not respond. The next watch returns the changes made after the first page. */
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
        readCompleted(sentAtMs)
        return true
    }
}
