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
 * Writes the changes that users request to the store, with several queued changes in one transaction. The maximum size of a transaction
 * adapts to the store: it is halved when the store refuses a transaction because of its rate limit, and doubled after each success. Must be
 * used on the event loop only.
 */
class UserWriteBatcher(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val store: StoreClient,
    private val limits: StateLimitsInForce,
) {
    /** A queued or sent change without a result. */
    private class Change(
        val preconditions: List<Precondition>,
        val writes: List<KeyWrite>,
        val queuedAtMs: Long,
    ) {
        val result = CompletableDeferred<WriteResult>()

        /** Estimated size of the preconditions and writes in the JSON of a transaction. */
        val bytes = writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + OVERHEAD_BYTES * (preconditions.size + writes.size)
    }

    /** The changes of one transaction. */
    private class Batch(
        private val maxOps: Int,
    ) {
        val changes = ArrayList<Change>()
        private val keys = HashSet<String>()
        private var ops = 0
        private var bytes = 0

        /** Whether [change] can be added. A transaction is malformed if it writes a key twice, for example when two users cancel the same job. */
        fun hasCapacityFor(change: Change): Boolean {
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

    /** Current maximum number of puts and deletes in a transaction. */
    private var maxOps = limits.current.txnOps

    /** The limits from which the rate limit and [maxOps] were last set. */
    private var appliedLimits = limits.current
    private val rateLimiter = RateLimiter(loop, appliedLimits.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, appliedLimits.txnOps.toDouble())

    /** Called when the store refuses changes because of its rate limit, so that the leader leaves write capacity for them. */
    var onCongestion: () -> Unit = {}

    /** Whether changes are queued, or the transaction size is still reduced after a refusal. */
    val congested: Boolean get() = queue.isNotEmpty() || maxOps < limits.current.txnOps

    /** Whether the queue has capacity for another change. The queue is bounded since a change at its end would wait too long. */
    val hasCapacity: Boolean get() = queue.size < UserApiConstants.MAX_WAITING_CHANGES

    /** Applies [writes] atomically if all [preconditions] hold. Suspends until the result is known, or is [WriteResult.UNKNOWN] for lack of a response. */
    suspend fun write(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
    ): WriteResult {
        if (!hasCapacity) return WriteResult.REFUSED
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
            applyLimitsInForce()
            rateLimiter.acquire(batch.sumOf { it.writes.size }.toDouble())
            try {
                sendAll(batch)
            } catch (e: IllegalStateException) {
                // Each change needs a result, or its caller would wait forever. A malformed transaction was not executed.
                Log.error("user writes: transaction failed: ${e.message}")
                completeAll(batch, WriteResult.REFUSED)
            }
        }
    }

    /** Applies the limits in force, which another component of this controller may have lowered after a refusal by the store. */
    private fun applyLimitsInForce() {
        if (appliedLimits == limits.current) return
        appliedLimits = limits.current
        maxOps = minOf(maxOps, appliedLimits.txnOps)
        rateLimiter.setLimits(appliedLimits.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, appliedLimits.txnOps.toDouble())
    }

    private fun takeBatch(): List<Change> {
        applyLimitsInForce()
        val batch = Batch(maxOps)
        while (queue.isNotEmpty() && batch.hasCapacityFor(queue.first())) batch.add(queue.removeFirst())
        return batch.changes
    }

    private suspend fun sendAll(changes: List<Change>) {
        var remaining = changes
        while (remaining.isNotEmpty()) remaining = sendOnce(remaining)
    }

    /** Sends [batch] in one transaction and returns those of its changes that must be sent again at once. */
    private suspend fun sendOnce(batch: List<Change>): List<Change> {
        val limitsWhenSent = limits.current
        return when (val result = store.txn(batch.flatMap { it.preconditions }, batch.flatMap { it.writes })) {
            is StoreResult.Ok -> handleOutcome(batch, limitsWhenSent, result.value)
            is StoreResult.Refused -> if (result.isRateLimited) backOff(batch) else completeAll(batch, WriteResult.REFUSED)
            is StoreResult.Unknown -> {
                Log.info("user writes: no response to a transaction of ${batch.size} changes: ${result.reason}")
                completeAll(batch, WriteResult.UNKNOWN)
            }
        }
    }

    private fun handleOutcome(
        batch: List<Change>,
        limitsWhenSent: StateLimits,
        outcome: TxnOutcome,
    ): List<Change> =
        when (outcome) {
            is TxnOutcome.Applied -> {
                maxOps = minOf(limits.current.txnOps, maxOps * 2)
                completeAll(batch, WriteResult.APPLIED)
            }
            is TxnOutcome.Failed -> completeConflicts(batch, outcome)
            is TxnOutcome.Malformed -> handleMalformed(batch, limitsWhenSent, outcome)
            TxnOutcome.LeaseNotFound -> completeAll(batch, WriteResult.REFUSED)
        }

    /** Completes the changes of [batch] whose preconditions failed and returns the others, which a conflict must not fail. */
    private fun completeConflicts(
        batch: List<Change>,
        outcome: TxnOutcome.Failed,
    ): List<Change> {
        val failedKeys = outcome.keys.toSet()
        val (conflicting, others) = batch.partition { change -> change.preconditions.any { it.key in failedKeys } }
        if (conflicting.isEmpty()) return completeAll(batch, WriteResult.REFUSED)
        completeAll(conflicting, WriteResult.CONFLICT)
        return others
    }

    /**
     * Halves the maximum transaction size and refuses the changes of [batch] that have waited longer than [UserApiConstants.CHANGE_TIMEOUT_MS].
     * Returns those of the others that fit in one transaction, after a delay.
     */
    private suspend fun backOff(batch: List<Change>): List<Change> {
        val (expired, others) = batch.partition { loop.nowMs() - it.queuedAtMs > UserApiConstants.CHANGE_TIMEOUT_MS }
        completeAll(expired, WriteResult.REFUSED)
        onCongestion()
        maxOps = maxOf(UserApiConstants.MIN_CHANGE_OPS, maxOps / 2)
        val remaining = requeueExcess(others)
        if (remaining.isNotEmpty()) delay(StoreConstants.STORE_RETRY_MS)
        return remaining
    }

    /**
     * Handles a [batch] that the store refused as malformed. Returns the changes to send next: as many as the lowered limits permit, or one
     * change if the limits were not lowered. A change that was sent alone is refused.
     */
    private fun handleMalformed(
        batch: List<Change>,
        limitsWhenSent: StateLimits,
        outcome: TxnOutcome.Malformed,
    ): List<Change> {
        val first = batch.first()
        if (limits.recordMalformed(limitsWhenSent)) {
            applyLimitsInForce()
        } else if (batch.size > 1) {
            maxOps = first.writes.size
        } else {
            Log.error("user writes: state service refused a change of ${first.writes.first().key} as malformed: ${outcome.reason}")
            return completeAll(batch, WriteResult.REFUSED)
        }
        return requeueExcess(batch)
    }

    /** Returns the first changes of [batch] that fit in a transaction, at least one, and puts the others back at the head of the queue. */
    private fun requeueExcess(batch: List<Change>): List<Change> {
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

    /** Completes all changes of [batch] with [result]. Returns an empty list, as no change has to be sent again. */
    private fun completeAll(
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
