package mintfield.app.api

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.core.constants.StoreConstants
import mintfield.core.constants.UserApiConstants
import mintfield.core.model.StateLimits
import mintfield.core.model.StateLimitsInForce
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.RateLimiter
import mintfield.io.store.KeyWrite
import mintfield.io.store.Precondition
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/**
 * Writes the changes that users request. Changes that wait at the same moment share a transaction, whose size adapts to what the store
 * accepts: it is halved when the store refuses writes as too many, and doubled after each success. Runs on the event loop.
 */
class UserWriteBatcher(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val store: StoreClient,
    private val limits: StateLimitsInForce,
) {
    /** A change that waits for its result. */
    private class Change(
        val preconditions: List<Precondition>,
        val writes: List<KeyWrite>,
        val queuedAtMs: Long,
    ) {
        val result = CompletableDeferred<WriteResult>()

        /** About what it takes of the size of a transaction. */
        val bytes = writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + OVERHEAD_BYTES * (preconditions.size + writes.size)
    }

    /** The changes that one transaction is to carry out. */
    private class Batch(
        private val maxOps: Int,
    ) {
        val changes = ArrayList<Change>()
        private val keys = HashSet<String>()
        private var ops = 0
        private var bytes = 0

        /** Whether [change] can be added. A transaction that writes a key twice, as two users cancel the same job, is malformed. */
        fun hasRoomFor(change: Change): Boolean {
            val withinLimits = ops + change.writes.size <= maxOps && bytes + change.bytes <= StoreConstants.MAX_TXN_BYTES
            return (withinLimits || changes.isEmpty()) && change.writes.none { it.key in keys }
        }

        fun add(change: Change) {
            change.writes.mapTo(keys) { it.key }
            ops += change.writes.size
            bytes += change.bytes
            changes.add(change)
        }
    }

    private val queue = ArrayDeque<Change>()
    private var activeWriters = 0

    /** Puts and deletes that a transaction may have at present. */
    private var maxOps = limits.current.txnOps

    /** The limits that the rate and [maxOps] are set for. */
    private var pacedFor = limits.current
    private val rateLimiter = RateLimiter(loop, pacedFor.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, pacedFor.txnOps.toDouble())

    /** Called when the store refuses changes as too many, so that the leader leaves room for them. */
    var onCongestion: () -> Unit = {}

    /** Whether changes wait for the store. */
    val congested: Boolean get() = queue.isNotEmpty() || maxOps < limits.current.txnOps

    /** Whether a further change can be queued; if not, it would wait too long. */
    val hasRoom: Boolean get() = queue.size < UserApiConstants.MAX_WAITING_CHANGES

    /** Carries out [writes] atomically if all [preconditions] hold. Suspends until the result is known, or given up. */
    suspend fun write(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
    ): WriteResult {
        if (!hasRoom) return WriteResult.REFUSED
        val change = Change(preconditions, writes, loop.nowMs())
        queue.addLast(change)
        if (activeWriters < UserApiConstants.MAX_CONCURRENT_CHANGES) launchWriter()
        return change.result.await()
    }

    private fun launchWriter() {
        activeWriters++
        scope.launch {
            try {
                writeQueue()
            } finally {
                activeWriters--
            }
        }
    }

    private suspend fun writeQueue() {
        while (queue.isNotEmpty()) {
            val batch = takeBatch()
            adoptLimits()
            rateLimiter.acquire(batch.sumOf { it.writes.size }.toDouble())
            try {
                carryOut(batch)
            } catch (e: IllegalStateException) {
                // Nobody may wait for a result that never comes. A malformed transaction was not executed.
                Log.error("changes of users failed: ${e.message}")
                finish(batch, WriteResult.REFUSED)
            }
        }
    }

    /** Follows the limits in force, which may have become lower by what another part of this controller met. */
    private fun adoptLimits() {
        if (pacedFor == limits.current) return
        pacedFor = limits.current
        maxOps = minOf(maxOps, pacedFor.txnOps)
        rateLimiter.limit(pacedFor.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, pacedFor.txnOps.toDouble())
    }

    private fun takeBatch(): List<Change> {
        adoptLimits()
        val batch = Batch(maxOps)
        while (queue.isNotEmpty() && batch.hasRoomFor(queue.first())) batch.add(queue.removeFirst())
        return batch.changes
    }

    private suspend fun carryOut(changes: List<Change>) {
        var remaining = changes
        while (remaining.isNotEmpty()) remaining = carryOutOnce(remaining)
    }

    /** Sends [batch] in one transaction; returns the changes of it that are to be sent again at once. */
    private suspend fun carryOutOnce(batch: List<Change>): List<Change> {
        val usedFor = limits.current
        return when (val result = store.txn(batch.flatMap { it.preconditions }, batch.flatMap { it.writes })) {
            is StoreResult.Ok -> settle(batch, usedFor, result.value)
            is StoreResult.Refused -> if (result.isRateLimited) backOff(batch) else finish(batch, WriteResult.REFUSED)
            is StoreResult.Unknown -> {
                Log.info("no answer to ${batch.size} changes of users: ${result.reason}")
                finish(batch, WriteResult.UNKNOWN)
            }
        }
    }

    private fun settle(
        batch: List<Change>,
        usedFor: StateLimits,
        outcome: TxnOutcome,
    ): List<Change> =
        when (outcome) {
            is TxnOutcome.Applied -> {
                maxOps = minOf(limits.current.txnOps, maxOps * 2)
                finish(batch, WriteResult.APPLIED)
            }
            is TxnOutcome.Failed -> withoutConflicts(batch, outcome)
            is TxnOutcome.Malformed -> smaller(batch, usedFor, outcome)
            TxnOutcome.LeaseNotFound -> finish(batch, WriteResult.REFUSED)
        }

    /** The changes of [batch] whose preconditions hold: a conflict of one must not fail the others. */
    private fun withoutConflicts(
        batch: List<Change>,
        outcome: TxnOutcome.Failed,
    ): List<Change> {
        val failedKeys = outcome.keys.toSet()
        val (conflicting, others) = batch.partition { change -> change.preconditions.any { it.key in failedKeys } }
        if (conflicting.isEmpty()) return finish(batch, WriteResult.REFUSED)
        finish(conflicting, WriteResult.CONFLICT)
        return others
    }

    /** The changes of [batch] that still have time, as many as a transaction of half the size takes, after a pause. */
    private suspend fun backOff(batch: List<Change>): List<Change> {
        val (expired, others) = batch.partition { loop.nowMs() - it.queuedAtMs > UserApiConstants.CHANGE_TIMEOUT_MS }
        finish(expired, WriteResult.REFUSED)
        onCongestion()
        maxOps = maxOf(UserApiConstants.MIN_CHANGE_OPS, maxOps / 2)
        val remaining = putBackExcess(others)
        if (remaining.isNotEmpty()) delay(StoreConstants.STORE_RETRY_MS)
        return remaining
    }

    /** What of a [batch] that was called malformed to send next: as much as the limits in force permit, or one change alone. */
    private fun smaller(
        batch: List<Change>,
        usedFor: StateLimits,
        outcome: TxnOutcome.Malformed,
    ): List<Change> {
        val first = batch.first()
        if (limits.recordMalformed(usedFor)) {
            adoptLimits()
        } else if (batch.size > 1) {
            maxOps = first.writes.size
        } else {
            Log.error("the state service calls a change of ${first.writes.first().key} malformed: ${outcome.reason}")
            return finish(batch, WriteResult.REFUSED)
        }
        return putBackExcess(batch)
    }

    /** Returns as many of [batch] as a transaction may have at present, at least one; the others are first in the queue again. */
    private fun putBackExcess(batch: List<Change>): List<Change> {
        var ops = 0
        val kept =
            batch.takeWhile { change ->
                val first = ops == 0
                ops += change.writes.size
                first || ops <= maxOps
            }
        batch.drop(kept.size).asReversed().forEach { queue.addFirst(it) }
        return kept
    }

    /** Gives [batch] its result; nothing of it remains to be sent. */
    private fun finish(
        batch: List<Change>,
        result: WriteResult,
    ): List<Change> {
        batch.forEach { it.result.complete(result) }
        return emptyList()
    }

    private companion object {
        /** Bytes of JSON around one precondition or write. */
        const val OVERHEAD_BYTES = 90
    }
}
