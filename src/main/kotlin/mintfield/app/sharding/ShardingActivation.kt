package mintfield.app.sharding

import mintfield.io.json.Json
import mintfield.io.json.string
import mintfield.io.loop.Log
import mintfield.io.store.Entry
import mintfield.io.store.KeyWrite
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/**
 * Ensures, before any shard is led, that no controller leads all machines or can be elected to. It writes a marker without a lease to the
 * key of the leader of all machines: a controller without the block `sharing` then sees a leader that is none of its peers, and never
 * campaigns. No shard is led while there is a leader of all machines, or while round records or scale-out intents of its unfinished work
 * remain, since the shard leaders would start its tasks a second time.
 */
class ShardingActivation(
    private val store: StoreClient,
) {
    private val keys = LeaderKeys()

    /** The revision of the marker once it is confirmed; 0 before. */
    private var markerRevision = 0L
    private var lastObstacle: ActivationObstacle? = null

    /** The precondition that every election of a shard leader must include; null until [ensureActivated] has returned true. */
    val precondition: Precondition? get() = if (markerRevision > 0) Precondition(keys.leader, markerRevision) else null

    /** Tries to activate sharding; returns whether shards may be led. Does not access the store again once active. Logs each new obstacle. */
    suspend fun ensureActivated(): Boolean {
        if (markerRevision > 0) return true
        val obstacle = activate()
        if (obstacle != null && obstacle != lastObstacle) Log.error("sharding is not active yet, no shard is led: ${obstacle.reason}")
        lastObstacle = obstacle
        return obstacle == null
    }

    /** Deactivates sharding here if [outcome], of an election, shows that the marker was deleted or replaced, as when operators end sharding. */
    fun checkMarker(outcome: TxnOutcome) {
        if (outcome is TxnOutcome.Failed && keys.leader in outcome.keys) markerRevision = 0
    }

    /** Writes the marker or confirms an existing one; returns the obstacle, or null if the marker is confirmed. */
    private suspend fun activate(): ActivationObstacle? {
        val read = store.get(keys.leader, urgent = true) as? StoreResult.Ok ?: return ActivationObstacle.StoreUnavailable
        val entry = read.value
        return when {
            entry == null -> putMarker()
            isMarker(entry) -> confirmMarker(entry.revision)
            else -> ActivationObstacle.LedWithoutSharding(entry.data.string(MEMBER_FIELD))
        }
    }

    private suspend fun putMarker(): ActivationObstacle? {
        val unfinishedWork = unfinishedWork()
        if (unfinishedWork != null) return unfinishedWork
        val value = Json.obj { writeStringField(MEMBER_FIELD, MARKER_MEMBER) }
        val result = store.txn(listOf(Precondition(keys.leader, 0)), listOf(KeyWrite.Put(keys.leader, value)), urgent = true)
        val applied = (result as? StoreResult.Ok)?.value as? TxnOutcome.Applied ?: return ActivationObstacle.StoreUnavailable
        return confirmMarker(applied.revision)
    }

    /** Confirms the marker at [revision] if no unfinished work was left before it was written; deletes the marker if there is any. */
    private suspend fun confirmMarker(revision: Long): ActivationObstacle? {
        val unfinishedWork = unfinishedWork()
        when (unfinishedWork) {
            null -> markerRevision = revision
            ActivationObstacle.StoreUnavailable -> {}
            else -> store.txn(listOf(Precondition(keys.leader, revision)), listOf(KeyWrite.Delete(keys.leader)))
        }
        return unfinishedWork
    }

    /** Unfinished work that a leader of all machines has left, or the failure to read it; null if there is none. */
    private suspend fun unfinishedWork(): ActivationObstacle? {
        for ((prefix, records) in listOf(keys.rounds to "rounds", keys.intents to "scale-out intents")) {
            val page = (store.list(prefix, null, 1) as? StoreResult.Ok)?.value ?: return ActivationObstacle.StoreUnavailable
            if (page.entries.isNotEmpty()) return ActivationObstacle.UnfinishedWork(records, prefix)
        }
        return null
    }

    /** The content of the marker. */
    companion object {
        private const val MEMBER_FIELD = "member"

        /** The value of the marker in place of a controller's name; names contain no parentheses. */
        const val MARKER_MEMBER = "(shares)"

        /** Whether [entry], read from the key of the leader of all machines, is the marker. */
        fun isMarker(entry: Entry): Boolean = entry.data.string(MEMBER_FIELD) == MARKER_MEMBER && entry.lease == null
    }
}
