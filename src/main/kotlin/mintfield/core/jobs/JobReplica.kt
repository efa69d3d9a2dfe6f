package mintfield.core.jobs

import mintfield.core.constants.StoreConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState

/**
 * This controller's replica of the jobs in the store: all unfinished ones, and a cache of final states.
 *
 * Changes and snapshots may be read by several requests at once and arrive in any order. Of each job the newest revision counts, so
 * that nothing is ever replaced by something older, and [revision] never falls. Not thread-safe.
 */
class JobReplica {
    private val liveJobs = HashMap<String, AcceptedJob>()

    /** Revisions of the records that cannot be read. */
    private val unreadable = HashMap<String, Long>()
    private val finals = FinalStates(StoreConstants.MAX_CACHED_FINAL_STATES)

    /** Revisions at which jobs were removed while a snapshot was being read, which may still hold them. */
    private val removedAt = HashMap<String, Long>()
    private var openSnapshots = 0

    /** The unfinished jobs whose records can be read, by id. */
    val live: Map<String, AcceptedJob> get() = liveJobs

    /** The replica shows all changes of the store up to this revision. */
    var revision = 0L
        private set

    /** False until a first snapshot is complete, and while the store has dropped the changes after [revision]. */
    var loaded = false
        private set

    /** The dependencies between these jobs. */
    val dependencies = DependencyGraph(::known)

    /** Is notified of each change, if set. */
    var listener: JobListener? = null
        set(value) {
            field = value
            dependencies.listener = value
        }

    /** What is known of the job [id]; a final state counts before a record, and both before what cannot be read. */
    fun known(id: String): KnownJob? {
        finals[id]?.let { return KnownJob.Ended(it) }
        liveJobs[id]?.let { return KnownJob.Live(it) }
        return if (id in unreadable) KnownJob.Unreadable else null
    }

    /** Whether the record of job [id] at [revision] is known as one that cannot be read. */
    fun isUnreadable(
        id: String,
        revision: Long,
    ) = unreadable[id] == revision

    /** Caches the final state of job [id]. */
    fun ended(
        id: String,
        state: FinalState,
    ) {
        finals[id] = state
        dependencies.ended(id, state)
    }

    /**
     * Takes over [changes], which are all that were made after some revision not above [revision] and up to [upTo]. They may come
     * in any order: the revision of each decides, not its place in the list.
     */
    fun apply(
        changes: List<JobChange>,
        upTo: Long,
    ) {
        val known = revision
        changes.filter { it.revision > known }.sortedBy { it.revision }.forEach(::apply)
        revision = maxOf(known, upTo)
    }

    /** The store has dropped the changes after [asked]: a snapshot is needed, unless they have been read by another request. */
    fun historyLost(asked: Long) {
        if (asked >= revision) loaded = false
    }

    /** Begins the reading of a snapshot of all unfinished jobs, page by page. The caller closes it, whether or not it was completed. */
    fun beginSnapshot(): Snapshot {
        openSnapshots++
        return Snapshot()
    }

    /** A snapshot of all unfinished jobs, as far as it has been read. Its pages may be read at different revisions. */
    inner class Snapshot internal constructor() : AutoCloseable {
        private val found = HashMap<String, JobRecord>()
        private var firstRevision: Long? = null

        /** Adds a page that was read at [revision]. */
        fun page(
            revision: Long,
            records: Map<String, JobRecord>,
        ) {
            if (firstRevision == null) firstRevision = revision
            found.putAll(records)
        }

        /** All pages have been read: brings the replica to the revision of the first one, at least. Throws [IllegalStateException] without a page. */
        fun complete() {
            val readAt = checkNotNull(firstRevision) { "a snapshot without a page" }
            found.forEach { (id, record) -> if (record.revision > (removedAt[id] ?: 0)) write(id, record) }
            // A record written after the first page was read may be in no page; the changes to be read next tell of it.
            val removed = (liveJobs.keys + unreadable.keys).filter { it !in found && revisionOf(it) <= readAt }
            removed.forEach(::remove)
            revision = maxOf(revision, readAt)
            loaded = true
        }

        /** Ends the reading. */
        override fun close() {
            openSnapshots--
            if (openSnapshots == 0) removedAt.clear()
        }
    }

    private fun apply(change: JobChange) {
        when (change) {
            is JobChange.Written -> write(change.id, change.record)
            is JobChange.Removed -> removed(change)
            is JobChange.Ended -> ended(change.id, change.state)
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
                liveJobs[id] = record.job
                dependencies.written(record.job)
                listener?.changed(record.job)
            }
            is JobRecord.Unreadable -> unreadable[id] = record.revision
        }
    }

    private fun removed(change: JobChange.Removed) {
        if (openSnapshots > 0) removedAt[change.id] = change.revision
        if (change.revision > revisionOf(change.id)) remove(change.id)
    }

    private fun remove(id: String) {
        liveJobs.remove(id)
        unreadable.remove(id)
        dependencies.removed(id)
        listener?.removed(id)
    }

    private fun revisionOf(id: String): Long = maxOf(liveJobs[id]?.revision ?: 0, unreadable[id] ?: 0)
}
