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

enum class WriteResult {
    APPLIED,

    /** A guarded key had changed: nothing was written. */
    CONFLICT,

    /** The store did not take it; its user should come back. */
    REFUSED,

    /** No answer: it may or may not be applied, now or later. */
    UNKNOWN,
}

/** Writes the changes that users ask for; those that wait at the same moment share a transaction. */
class UserWriteBatcher(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val store: StoreClient,
    private val limits: StateLimitsInForce,
) {
    private class Change(
        val preconditions: List<Precondition>,
        val writes: List<KeyWrite>,
        val sinceMs: Long,
    ) {
        val result = CompletableDeferred<WriteResult>()
        val bytes = writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + OVERHEAD * (preconditions.size + writes.size)
    }

    private val queue = ArrayDeque<Change>()
    private var lanes = 0
    private var mostOps = limits.current.txnOps
    private var pacedFor = limits.current
    private val rateLimiter = RateLimiter(loop, pacedFor.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, pacedFor.txnOps.toDouble())

    /** Told when the store refuses changes as too many, so that the leader can leave room for them. */
    var onCongestion: () -> Unit = {}

    /** Whether changes wait for their turn at the store. */
    val congested: Boolean get() = queue.isNotEmpty() || mostOps < limits.current.txnOps

    /** False when so much waits already that a further change would only grow old. */
    val open: Boolean get() = queue.size < UserApiConstants.MAX_WAITING_CHANGES

    suspend fun write(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
    ): WriteResult {
        if (!open) return WriteResult.REFUSED
        val change = Change(preconditions, writes, loop.nowMs())
        queue.addLast(change)
        if (lanes < UserApiConstants.MAX_CONCURRENT_CHANGES) {
            lanes++
            scope.launch {
                try {
                    drain()
                } finally {
                    lanes--
                }
            }
        }
        return change.result.await()
    }

    private suspend fun drain() {
        while (queue.isNotEmpty()) {
            val batch = take()
            keepToLimits()
            rateLimiter.acquire(batch.sumOf { it.writes.size }.toDouble())
            try {
                carryOut(batch)
            } catch (e: IllegalStateException) {
                // Nobody may wait for an answer that does not come. A malformed transaction was not executed.
                Log.error("changes of users failed: ${e.message}")
                finish(batch, WriteResult.REFUSED)
            }
        }
    }

    /** The limits may have become lower, by what the leader here was told as well. */
    private fun keepToLimits() {
        if (pacedFor == limits.current) return
        pacedFor = limits.current
        mostOps = minOf(mostOps, pacedFor.txnOps)
        rateLimiter.limit(pacedFor.writeRps * UserApiConstants.CHANGE_WRITE_FRACTION, pacedFor.txnOps.toDouble())
    }

    private fun take(): List<Change> {
        keepToLimits()
        val batch = ArrayList<Change>()
        val keys = HashSet<String>()
        var ops = 0
        var bytes = 0
        while (true) {
            val next = queue.firstOrNull() ?: break
            if (batch.isNotEmpty() && (ops + next.writes.size > mostOps || bytes + next.bytes > StoreConstants.MAX_TXN_BYTES)) break
            // Several users cancel the same job at once: a transaction that writes a key twice would be malformed.
            if (next.writes.any { it.key in keys }) break
            next.writes.mapTo(keys) { it.key }
            ops += next.writes.size
            bytes += next.bytes
            batch.add(queue.removeFirst())
        }
        return batch
    }

    private suspend fun carryOut(all: List<Change>) {
        var batch = all
        while (batch.isNotEmpty()) {
            val usedFor = limits.current
            when (val r = store.txn(batch.flatMap { it.preconditions }, batch.flatMap { it.writes })) {
                is StoreResult.Ok ->
                    when (val outcome = r.value) {
                        is TxnOutcome.Applied -> {
                            mostOps = minOf(limits.current.txnOps, mostOps * 2)
                            return finish(batch, WriteResult.APPLIED)
                        }

                        is TxnOutcome.Failed -> {
                            val failed = outcome.keys.toSet()
                            val (bad, good) = batch.partition { c -> c.preconditions.any { it.key in failed } }
                            // One change that meets a conflict must not fail its neighbours.
                            finish(bad, WriteResult.CONFLICT)
                            if (bad.isEmpty()) return finish(batch, WriteResult.REFUSED)
                            batch = good
                        }

                        is TxnOutcome.Malformed -> {
                            batch = smaller(batch, usedFor, outcome)
                        }

                        TxnOutcome.LeaseGone -> return finish(batch, WriteResult.REFUSED)
                    }

                is StoreResult.Refused -> {
                    if (r.status != TOO_MANY) return finish(batch, WriteResult.REFUSED)
                    val (old, young) = batch.partition { loop.nowMs() - it.sinceMs > UserApiConstants.CHANGE_TIMEOUT_MS }
                    finish(old, WriteResult.REFUSED)
                    onCongestion()
                    mostOps = maxOf(UserApiConstants.MIN_CHANGE_OPS, mostOps / 2)
                    batch = putBack(young)
                    if (batch.isNotEmpty()) delay(StoreConstants.STORE_RETRY_MS)
                }

                is StoreResult.Unknown -> {
                    Log.info("no answer to ${batch.size} changes of users: ${r.reason}")
                    return finish(batch, WriteResult.UNKNOWN)
                }
            }
        }
    }

    /** What to try next of a [batch] that was called malformed: as much as the limits permit that are in force now, or one at a time. */
    private fun smaller(
        batch: List<Change>,
        usedFor: StateLimits,
        outcome: TxnOutcome.Malformed,
    ): List<Change> {
        if (limits.refused(usedFor)) {
            keepToLimits()
        } else if (batch.size > 1) {
            mostOps = batch.first().writes.size
        } else {
            Log.error("the state service calls a change of ${batch.first().writes.first().key} malformed: ${outcome.reason}")
            finish(batch, WriteResult.REFUSED)
            return emptyList()
        }
        return putBack(batch)
    }

    /** Leaves as much of [batch] as may now go at once; the rest is first in the queue again. */
    private fun putBack(batch: List<Change>): List<Change> {
        var ops = 0
        val kept = batch.takeWhile { c -> (ops == 0 || ops + c.writes.size <= mostOps).also { ops += c.writes.size } }
        batch.drop(kept.size).asReversed().forEach { queue.addFirst(it) }
        return kept
    }

    private fun finish(
        batch: List<Change>,
        result: WriteResult,
    ) = batch.forEach { it.result.complete(result) }

    private companion object {
        const val TOO_MANY = 429

        /** Bytes of JSON round one guard or write. */
        const val OVERHEAD = 90
    }
}
