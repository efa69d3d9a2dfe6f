package mintfield.core.jobs

import mintfield.core.constants.StoreConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.DependencyListener
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState

/** An unfinished job's record in the store, at the revision [revision]. */
sealed interface JobRecord {
    val revision: Long

    /** A record as this version of the program writes it. */
    data class Readable(
        val job: AcceptedJob,
    ) : JobRecord {
        override val revision get() = job.revision
    }

    /** A record that says nothing to this version of the program. The job is known, and nothing else is. */
    data class Unreadable(
        override val revision: Long,
    ) : JobRecord
}

/** One change of the store that concerns the job [id], made at the revision [revision]. */
sealed interface JobChange {
    val id: String
    val revision: Long

    /** The record of an unfinished job was written. */
    data class Written(
        override val id: String,
        val record: JobRecord,
    ) : JobChange {
        override val revision get() = record.revision
    }

    /** The record of an unfinished job was deleted. */
    data class Removed(
        override val id: String,
        override val revision: Long,
    ) : JobChange

    /** The job has got its final state. */
    data class Ended(
        override val id: String,
        override val revision: Long,
        val state: FinalState,
    ) : JobChange
}

/** What is known of a job. */
sealed interface KnownJob {
    /** It is done or cancelled, for ever. */
    data class Ended(
        val state: FinalState,
    ) : KnownJob

    /** It has a record of an unfinished job; [job] may be cancelled already. */
    data class Live(
        val job: AcceptedJob,
    ) : KnownJob

    /** It was accepted, but what is recorded of it cannot be read. */
    data object Unreadable : KnownJob
}

/** Told of what changes in a [JobReplica]. */
interface JobListener : DependencyListener {
    fun changed(job: AcceptedJob)

    fun removed(id: String)
}

/**
 * This node's replica of the jobs that the store holds: all unfinished ones, and a cache of final states.
 *
 * Changes and snapshots may be read by several requests at once and arrive in any order. Of each job the newest revision counts,
 * so nothing here is ever replaced by something older, and [revision] never falls back.
 */
class JobReplica {
    private val liveJobs = HashMap<String, AcceptedJob>()

    /** The marks of records that cannot be read. */
    private val unreadable = HashMap<String, Long>()
    private val finals = FinalStates(StoreConstants.MAX_CACHED_FINAL_STATES)

    /** When jobs were removed while a snapshot was being read, which may still hold them. */
    private val removedAt = HashMap<String, Long>()
    private var openSnapshots = 0

    /** The unfinished jobs whose records can be read, by id. */
    val live: Map<String, AcceptedJob> get() = liveJobs

    /** All changes up to this revision are shown. */
    var revision = 0L
        private set

    /** False until a first snapshot is complete, and while the store has dropped the changes after [revision]. */
    var loaded = false
        private set

    /** Which of these jobs depend on which others. */
    val dependencies = DependencyGraph(::known)

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

    /** The changes after [asked] are not to be had any more; only a snapshot can tell them, unless they have come another way. */
    fun historyLost(asked: Long) {
        if (asked >= revision) loaded = false
    }

    /** Begins the reading of a snapshot of all unfinished jobs, page by page. To be closed in any case. */
    fun beginSnapshot(): Snapshot {
        openSnapshots++
        return Snapshot()
    }

    /** All unfinished jobs as the store lists them. Pages read later may show later changes. */
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

        /** All pages have been read: what they show and the replica does not is taken over. */
        fun complete() {
            val readAt = checkNotNull(firstRevision) { "a snapshot without a page" }
            found.forEach { (id, record) -> if (record.revision > (removedAt[id] ?: 0)) write(id, record) }
            // What came later than the first page may have been missed by the pages; the next changes tell its fate.
            val gone = (liveJobs.keys + unreadable.keys).filter { it !in found && revisionOf(it) <= readAt }
            gone.forEach(::remove)
            revision = maxOf(revision, readAt)
            loaded = true
        }

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
