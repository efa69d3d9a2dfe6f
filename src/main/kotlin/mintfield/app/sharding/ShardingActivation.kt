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
 * Makes sure, before any share is led, that nobody leads all machines any more and nobody can again: the key of the only leadership is
 * taken, without a lease, by a mark that stands for all shares. A controller without the block `sharing` then finds a leader that is none
 * of its peers, and never stands. While that leadership has a leader, or left rounds or intents of unfinished work, no share is led:
 * its tasks would be started again.
 */
class ShardingActivation(
    private val store: StoreClient,
) {
    private val keys = LeaderKeys()

    /** The revision of the revision once it is known to hold; 0 before. */
    private var revision = 0L
    private var lastReason: String? = null

    /** What every election of a share's leader depends on; null before [ready] was true. */
    val precondition: Precondition? get() = if (revision > 0) Precondition(keys.leader, revision) else null

    /** Whether shares may be led. Reads the store until they may, then no more. */
    suspend fun ready(): Boolean {
        if (revision > 0) return true
        val reason = obstacle()
        if (reason != null && reason != lastReason) Log.error("machines are not shared yet: $reason")
        lastReason = reason
        return reason == null
    }

    /** Looks at everything anew if [outcome] tells that the revision is gone: operators have ended the sharing of machines. */
    fun checkGuard(outcome: TxnOutcome) {
        if (outcome is TxnOutcome.Failed && keys.leader in outcome.keys) revision = 0
    }

    private suspend fun obstacle(): String? {
        val read = store.get(keys.leader, urgent = true) as? StoreResult.Ok ?: return UNANSWERED
        val entry = read.value
        if (entry != null && !isMarker(entry)) return "${entry.data.string(MEMBER)} leads all machines; is it without the block sharing?"
        // A new mark is put only where nothing is left, and counts only if nothing was left behind it.
        if (entry == null) remainder()?.let { return it }
        val at = entry?.revision ?: put() ?: return UNANSWERED
        val left = remainder()
        if (left != null) {
            if (left != UNANSWERED) store.txn(listOf(Precondition(keys.leader, at)), listOf(KeyWrite.Delete(keys.leader)))
            return left
        }
        revision = at
        return null
    }

    private suspend fun put(): Long? {
        val value = Json.obj { writeStringField(MEMBER, SHARDS) }
        val result = store.txn(listOf(Precondition(keys.leader, 0)), listOf(KeyWrite.Put(keys.leader, value)), urgent = true)
        return ((result as? StoreResult.Ok)?.value as? TxnOutcome.Applied)?.revision
    }

    /** What the only leadership has left behind; null if there is nothing. */
    private suspend fun remainder(): String? {
        for ((prefix, what) in listOf(keys.rounds to "rounds", keys.intents to "rental intents")) {
            val page = (store.list(prefix, null, 1) as? StoreResult.Ok)?.value ?: return UNANSWERED
            if (page.entries.isNotEmpty()) return "there are $what of the time before ($prefix): let a controller without sharing finish its jobs"
        }
        return null
    }

    companion object {
        private const val MEMBER = "member"

        /** In place of a controller's name; parentheses occur in none. */
        const val SHARDS = "(shares)"

        /** Whether [entry], of the key of the only leadership, is the revision. */
        fun isMarker(entry: Entry): Boolean = entry.data.string(MEMBER) == SHARDS && entry.lease == null

        private const val UNANSWERED = "the state service does not answer"
    }
}
