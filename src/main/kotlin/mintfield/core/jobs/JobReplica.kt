package mintfield.core.jobs

import mintfield.core.constants.StoreConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState

/**
 * Replica of the jobs in the store, kept by each controller: all unfinished jobs, and a cache of final states.
 *
 * Changes and snapshots may be read by several concurrent requests and arrive in any order. The newest revision of each job wins, so
 * newer state is never replaced by older state, and [revision] never decreases. Not thread-safe.
 */
class JobReplica {
    private val unfinishedById = HashMap<String, AcceptedJob>()

    /** Revisions of the records that cannot be decoded, by job id. */
    private val unreadable = HashMap<String, Long>()
    private val finals = FinalStates(StoreConstants.MAX_CACHED_FINAL_STATES)

    /** Removal revisions, by job id, of the jobs removed while a snapshot was being read; the snapshot may still contain them. */
    private val removedAt = HashMap<String, Long>()
    private var openSnapshots = 0

    /** The unfinished jobs whose records can be decoded, by id. */
    val unfinishedJobs: Map<String, AcceptedJob> get() = unfinishedById

    /** Store revision up to which all changes are applied. */
    var revision = 0L
        private set

    /** Whether the replica is complete: false until a first snapshot is complete, and while the store has compacted the changes after [revision]. */
    var isLoaded = false
        private set

    /** The dependencies between the jobs of the replica. */
    val dependencies = DependencyGraph(::known)

    /** Notified of each change, unless null. */
    var listener: JobListener? = null
        set(value) {
            field = value
            dependencies.listener = value
        }

    /** The known state of job [id], or null; a final state takes precedence over a record, and both over an unreadable record. */
    fun known(id: String): KnownJob? {
        finals[id]?.let { return KnownJob.Ended(it) }
        unfinishedById[id]?.let { return KnownJob.Live(it) }
        return if (id in unreadable) KnownJob.Unreadable else null
    }

    /** Whether the record of job [id] at [revision] is known to be unreadable. */
    fun isUnreadable(
        id: String,
        revision: Long,
    ) = unreadable[id] == revision

    /** Caches the final state of job [id] and updates the jobs that depend on it. */
    fun onJobEnded(
        id: String,
        state: FinalState,
    ) {
        finals[id] = state
        dependencies.onJobEnded(id, state)
    }

    /**
     * Applies [changes], which must be all changes of the store up to revision [upTo] that follow some revision not above [revision].
     * They are applied in the order of their revisions, regardless of their order in the list.
     */
    fun apply(
        changes: List<JobChange>,
        upTo: Long,
    ) {
        val known = revision
        changes.filter { it.revision > known }.sortedBy { it.revision }.forEach(::apply)
        revision = maxOf(known, upTo)
    }

    /** The store has compacted the changes after revision [requested]: a snapshot is required, unless another request has read them. */
    fun historyCompacted(requested: Long) {
        if (requested >= revision) isLoaded = false
    }

    /** Opens a snapshot of all unfinished jobs, to be filled page by page. The caller must close it, whether or not it was completed. */
    fun beginSnapshot(): Snapshot {
        openSnapshots++
        return Snapshot()
    }

    /** A partly or completely read snapshot of all unfinished jobs. Its pages may be read at different revisions. */
    inner class Snapshot internal constructor() : AutoCloseable {
        private val found = HashMap<String, JobRecord>()
        private var firstRevision: Long? = null

        /** Adds a page that was read at [revision]. */
        fun addPage(
            revision: Long,
            records: Map<String, JobRecord>,
        ) {
            if (firstRevision == null) firstRevision = revision
            found.putAll(records)
        }

        /**
         * Applies the snapshot, so that [revision] is at least that of the first page. A replica that is already complete up to that page is
         * left unchanged: the snapshot may contain jobs that a newer snapshot has removed. Throws [IllegalStateException] without a page.
         */
        fun complete() {
            val readAt = checkNotNull(firstRevision) { "snapshot completed without a page" }
            if (isLoaded && readAt <= revision) return
            found.forEach { (id, record) -> if (record.revision > (removedAt[id] ?: 0)) write(id, record) }
            // A record written after the first page was read may be in no page; it is among the changes that are read next.
            val removed = (unfinishedById.keys + unreadable.keys).filter { it !in found && revisionOf(it) <= readAt }
            removed.forEach(::remove)
            revision = maxOf(revision, readAt)
            isLoaded = true
        }

        /** Ends the snapshot; removals are no longer tracked once no snapshot is open. */
        override fun close() {
            openSnapshots--
            if (openSnapshots == 0) removedAt.clear()
        }
    }

    private fun apply(change: JobChange) {
        when (change) {
            is JobChange.Written -> write(change.id, change.record)
            is JobChange.Removed -> onRemoved(change)
            is JobChange.Ended -> onJobEnded(change.id, change.state)
        }
    }

    private fun write(
        id: String,
        record: JobRecord,
    ) {
        if (record.revision <= revisionOf(id)) return
        when (record) {
            is JobRecord.Readable -> {
                unreadable.remove(id)
                unfinishedById[id] = record.job
                dependencies.onRecordWritten(record.job)
                listener?.onJobChanged(record.job)
            }
            is JobRecord.Unreadable -> unreadable[id] = record.revision
        }
    }

    private fun onRemoved(change: JobChange.Removed) {
        if (openSnapshots > 0) removedAt[change.id] = change.revision
        if (change.revision > revisionOf(change.id)) remove(change.id)
    }

    private fun remove(id: String) {
        unfinishedById.remove(id)
        unreadable.remove(id)
        dependencies.onRecordRemoved(id)
        listener?.onJobRemoved(id)
    }

    private fun revisionOf(id: String): Long = maxOf(unfinishedById[id]?.revision ?: 0, unreadable[id] ?: 0)
}
