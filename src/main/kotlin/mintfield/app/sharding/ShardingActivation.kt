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
 * Makes sure, before any shard is led, that nobody leads all machines any more and nobody can again. It writes a marker without a lease to
 * the key of the leader of all machines: a controller without the block `sharing` then finds a leader that is none of its peers, and never
 * campaigns. While there is a leader of all machines, or round records or scale-out intents of its unfinished work, no shard is led, since
 * its tasks would be started a second time.
 */
class ShardingActivation(
    private val store: StoreClient,
) {
    private val keys = LeaderKeys()

    /** The revision of the marker once it is known to hold; 0 before. */
    private var markerRevision = 0L
    private var lastObstacle: ActivationObstacle? = null

    /** What the election of each shard's leader depends on; null before [ready] was true. */
    val precondition: Precondition? get() = if (markerRevision > 0) Precondition(keys.leader, markerRevision) else null

    /** Whether shards may be led. Reads the store until they may, then no more. Logs what stands against it. */
    suspend fun ready(): Boolean {
        if (markerRevision > 0) return true
        val obstacle = activate()
        if (obstacle != null && obstacle != lastObstacle) Log.error("machines are not shared yet: ${obstacle.reason}")
        lastObstacle = obstacle
        return obstacle == null
    }

    /** Checks everything anew if [outcome], of an election, shows that the marker is gone: operators have ended sharding. */
    fun checkGuard(outcome: TxnOutcome) {
        if (outcome is TxnOutcome.Failed && keys.leader in outcome.keys) markerRevision = 0
    }

    /** Puts or finds the marker; returns what stands against it, or null if it holds now. */
    private suspend fun activate(): ActivationObstacle? {
        val read = store.get(keys.leader, urgent = true) as? StoreResult.Ok ?: return ActivationObstacle.StoreUnavailable
        val entry = read.value
        return when {
            entry == null -> putMarker()
            isMarker(entry) -> confirmMarker(entry.revision)
            else -> ActivationObstacle.LedWithoutSharding(entry.data.string(MEMBER))
        }
    }

    private suspend fun putMarker(): ActivationObstacle? {
        val unfinishedWork = unfinishedWork()
        if (unfinishedWork != null) return unfinishedWork
        val value = Json.obj { writeStringField(MEMBER, SHARDS) }
        val result = store.txn(listOf(Precondition(keys.leader, 0)), listOf(KeyWrite.Put(keys.leader, value)), urgent = true)
        val applied = (result as? StoreResult.Ok)?.value as? TxnOutcome.Applied ?: return ActivationObstacle.StoreUnavailable
        return confirmMarker(applied.revision)
    }

    /** The marker at [revision] counts only if nothing was left before it was put; otherwise it is deleted again. */
    private suspend fun confirmMarker(revision: Long): ActivationObstacle? {
        val unfinishedWork = unfinishedWork()
        when (unfinishedWork) {
            null -> markerRevision = revision
            ActivationObstacle.StoreUnavailable -> {}
            else -> store.txn(listOf(Precondition(keys.leader, revision)), listOf(KeyWrite.Delete(keys.leader)))
        }
        return unfinishedWork
    }

    /** What a leader of all machines has left; null if there is nothing. */
    private suspend fun unfinishedWork(): ActivationObstacle? {
        for ((prefix, records) in listOf(keys.rounds to "rounds", keys.intents to "rental intents")) {
            val page = (store.list(prefix, null, 1) as? StoreResult.Ok)?.value ?: return ActivationObstacle.StoreUnavailable
            if (page.entries.isNotEmpty()) return ActivationObstacle.UnfinishedWork(records, prefix)
        }
        return null
    }

    /** The form of the marker. */
    companion object {
        private const val MEMBER = "member"

        /** Stands in place of a controller's name; parentheses occur in none. */
        const val SHARDS = "(shares)"

        /** Whether [entry], of the key of the leader of all machines, is the marker. */
        fun isMarker(entry: Entry): Boolean = entry.data.string(MEMBER) == SHARDS && entry.lease == null
    }
}
