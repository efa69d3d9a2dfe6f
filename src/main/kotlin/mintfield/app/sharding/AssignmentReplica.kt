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

/** This controller's replica of the machine assignments and of the set of drained controllers, updated from the store by watches. */
class AssignmentReplica(
    private val store: StoreClient,
) {
    /** The assignments as of the last read. */
    val table = AssignmentTable()

    /** The record of drained controllers as of the last read, with its revision. */
    var drainRecord = DrainRecord.NONE
        private set

    /** The names of the drained controllers, from the last record that could be decoded. */
    var drained: Set<String> = emptySet()
        private set

    /** Watches the store and applies changes, until cancelled. */
    suspend fun follow() {
        while (true) if (!catchUp(StoreConstants.JOBS_WATCH_MS)) delay(StoreConstants.STORE_RETRY_MS)
    }

    /** Applies every change that was written before the call; returns false if the store does not respond. */
    suspend fun refresh(): Boolean = catchUp(waitMs = 0)

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
            // The table is complete only as of the first page: pages may miss later changes, which the watch delivers after this revision.
            if (readAt == 0L) readAt = page.revision
            page.entries.forEach { apply(it.key, it.data, it.revision) }
            after = page.entries.lastOrNull()?.key
        } while (page.hasNext && after != null)
        table.caughtUp(readAt)
        return true
    }

    /** Applies the record under [key] as of [revision]; [data] is null if the record was deleted. */
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
            Log.error("$key: not the key of an assignment block; ignored")
            return
        }
        // No controller deletes a block, so a deletion does not mean that its machines have no owner: it is handled as an unreadable block.
        val assignments = data?.let(AssignmentCodec::parse)
        if (assignments == null) Log.error("$key: cannot decode assignments of revision $revision; record kept, its machines not managed")
        table.apply(number, AssignmentBlock(revision, assignments))
    }

    private fun applyDrained(
        data: Map<String, Any?>?,
        revision: Long,
    ) {
        if (revision <= drainRecord.revision) return
        val controllers = if (data == null) emptySet() else DrainCodec.parse(data)
        if (controllers == null) Log.error("${Keys.DRAINED}: cannot decode record of revision $revision; record kept, last decoded set stays in effect")
        drainRecord = DrainRecord(revision, controllers)
        drained = controllers ?: drained
    }
}
