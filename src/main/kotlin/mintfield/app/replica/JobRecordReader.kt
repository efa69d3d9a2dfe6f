package mintfield.app.replica

import mintfield.core.jobs.JobChange
import mintfield.core.jobs.JobRecord
import mintfield.core.jobs.JobReplica
import mintfield.core.model.AcceptedJob
import mintfield.io.loop.Log
import mintfield.io.store.Change
import mintfield.io.store.FinalStateCodec
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.io.store.Page

/** Decodes jobs from entries and changes of the store. An unreadable record does not affect other jobs, and its own job stays pending. */
internal class JobRecordReader(
    private val replica: JobReplica,
    private val recomputeCompatibleTypes: (AcceptedJob) -> List<String>,
) {
    /** The records of one [page] of unfinished jobs, by job id. */
    fun records(page: Page): Map<String, JobRecord> =
        page.entries.associate { entry ->
            val id = entry.key.removePrefix(Keys.LIVE)
            id to record(id, entry.data, entry.revision)
        }

    /** Converts [change] to the change of a job; null if it concerns no job, or if its final state was deleted or is unreadable. */
    fun jobChange(change: Change): JobChange? =
        when {
            change.key.startsWith(Keys.LIVE) -> liveChange(change.key.removePrefix(Keys.LIVE), change)
            change.key.startsWith(Keys.FINAL) -> finalChange(change.key.removePrefix(Keys.FINAL), change)
            else -> null
        }

    private fun liveChange(
        id: String,
        change: Change,
    ): JobChange {
        val data = change.data ?: return JobChange.Removed(id, change.revision)
        return JobChange.Written(id, record(id, data, change.revision))
    }

    private fun finalChange(
        id: String,
        change: Change,
    ): JobChange? {
        val state = change.data?.let { FinalStateCodec.decode(it).valueOrNull } ?: return null
        return JobChange.Ended(id, change.revision, state)
    }

    private fun record(
        id: String,
        data: Map<String, Any?>,
        revision: Long,
    ): JobRecord {
        val job = parse(id, data, revision)
        if (job != null) return JobRecord.Readable(job)
        if (!replica.isUnreadable(id, revision)) Log.error("job $id: cannot decode record of revision $revision; record kept, job reported as pending")
        return JobRecord.Unreadable(revision)
    }

    @Suppress("TooGenericExceptionCaught") // An exception that the parser throws for one record must not prevent the others from being read.
    private fun parse(
        id: String,
        data: Map<String, Any?>,
        revision: Long,
    ): AcceptedJob? =
        try {
            JobRecordCodec.decode(data, revision, recomputeCompatibleTypes).valueOrNull
        } catch (e: RuntimeException) {
            Log.debug("$id: $e")
            null
        }
}
