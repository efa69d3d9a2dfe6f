package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.core.constants.ShardingConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.ownership.AssignmentBlock
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.DrainRecord
import mintfield.io.loop.Log
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.ownership.DrainCodec
import mintfield.io.store.Keys
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/** Keeps this controller's replica of the assignments, and of the drained controllers, up to date with the store. */
class AssignmentReplica(
    private val store: StoreClient,
) {
    /** The assignments as they were last read. */
    val table = AssignmentTable()

    /** The record of drained controllers as it was last read. */
    var drainRecord = DrainRecord.NONE
        private set

    /** The controllers that are drained, by the last record that could be read. */
    var drained: Set<String> = emptySet()
        private set

    /** Applies changes as they come, until cancelled. */
    suspend fun follow() {
        while (true) if (!catchUp(StoreConstants.JOBS_WATCH_MS)) delay(StoreConstants.STORE_RETRY_MS)
    }

    /** Applies everything that was written before this call; returns false if the store does not answer. */
    suspend fun current(): Boolean = catchUp(waitMs = 0)

    private suspend fun catchUp(waitMs: Long): Boolean {
        if (table.revision == 0L) return load()
        val changes = (store.watch(Keys.ASSIGNMENTS, table.revision, waitMs, urgent = true) as? StoreResult.Ok)?.value ?: return false
        if (changes.tooOld) return load()
        for (change in changes.log) apply(change.key, change.data, change.revision)
        table.caughtUp(changes.revision)
        return true
    }

    private suspend fun load(): Boolean {
        var after: String? = null
        var readAt = 0L
        do {
            val page = (store.list(Keys.ASSIGNMENTS, after, StoreConstants.PAGE_ENTRIES) as? StoreResult.Ok)?.value ?: return false
            // The first page is the oldest: nothing that was written before it is missing.
            if (readAt == 0L) readAt = page.revision
            page.entries.forEach { apply(it.key, it.data, it.revision) }
            after = page.entries.lastOrNull()?.key
        } while (page.hasNext && after != null)
        table.caughtUp(readAt)
        return true
    }

    /** Applies one record; [data] is null if it was deleted. */
    private fun apply(
        key: String,
        data: Map<String, Any?>?,
        revision: Long,
    ) {
        if (key == Keys.DRAINED) applyDrained(data, revision) else applyBlock(key, data, revision)
    }

    private fun applyBlock(
        key: String,
        data: Map<String, Any?>?,
        revision: Long,
    ) {
        val number = key.removePrefix(Keys.ASSIGNMENTS).toIntOrNull()
        if (number == null || number !in 0 until ShardingConstants.ASSIGNMENT_BLOCKS) {
            Log.error("$key: not a block of assignments; it is left alone")
            return
        }
        // No controller deletes a block, so a deleted one says nothing of its machines, least of all that they are gone.
        val assignments = data?.let(AssignmentCodec::parse)
        if (assignments == null) Log.error("$key: the assignments of revision $revision cannot be read; they are kept, and their machines left alone")
        table.apply(number, AssignmentBlock(revision, assignments))
    }

    private fun applyDrained(
        data: Map<String, Any?>?,
        revision: Long,
    ) {
        if (revision <= drainRecord.revision) return
        val members = if (data == null) emptySet() else DrainCodec.parse(data)
        if (members == null) Log.error("${Keys.DRAINED}: the record of revision $revision cannot be read; what was known before stands")
        drainRecord = DrainRecord(revision, members)
        drained = members ?: drained
    }
}
