package mintfield.app.leader

import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.app.ExternalServices
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.Scheduler
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.StateLimits
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.loop.RateLimiter
import mintfield.io.store.KeyWrite
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.io.store.Precondition
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** Writes what the scheduler decides to the store, one transaction at a time, at the leader's part of the permitted pace. */
class CommitLoop(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val keys: LeaderKeys,
    lease: Long,
    private val scheduler: Scheduler,
    private val mayAct: () -> Boolean,
    private val checkLeaderKey: suspend () -> Unit,
    private val leaseExpired: () -> Unit,
    /** Told of the final states that it has written. */
    private val ended: (String, FinalState) -> Unit,
    leaderValue: () -> ByteArray,
) {
    private val settings = services.settings
    private val store = services.store
    private val limits = services.stateLimits
    private val writeEncoder = WriteEncoder(keys, limits, lease, leaderValue)

    /** Its part of the permitted writes: the leaders of other shares write as well. */
    private val permittedWrites: Double
        get() =
            limits.current.writeRps / (
                settings.operator.sharding
                    ?.shards
                    ?.size ?: 1
            )
    private val writes = RateLimiter(loop, permittedWrites * StoreConstants.LEADER_WRITE_FRACTION, limits.current.txnOps.toDouble())
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)
    private var pacedFor = limits.current
    private var yieldUntilMs = 0L

    /** Changes of users wait for the store: leaves them room for a while. */
    fun yieldToUsers() {
        yieldUntilMs = loop.nowMs() + StoreConstants.LEADER_YIELD_MS
        writes.rate = permittedWrites * StoreConstants.LEADER_WRITE_FRACTION_YIELDING
    }

    /** The limits may have become lower, by what another part of this node was told as well. */
    private fun keepToLimits() {
        if (pacedFor == limits.current) return
        pacedFor = limits.current
        writes.limit(permittedWrites * StoreConstants.LEADER_WRITE_FRACTION, pacedFor.txnOps.toDouble())
    }

    private fun writesAvailable(): Double {
        keepToLimits()
        if (yieldUntilMs > 0 && loop.nowMs() > yieldUntilMs) {
            yieldUntilMs = 0
            writes.rate = permittedWrites * StoreConstants.LEADER_WRITE_FRACTION
        }
        return writes.available
    }

    /** Something may have to be written. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    /** Counts [count] writes that were made besides. */
    fun wrote(count: Int) = writes.take(count.toDouble())

    /** Writes as long as there is something to write, until cancelled; [afterEach] is called after each transaction and each wait. */
    suspend fun run(afterEach: () -> Unit) {
        while (true) {
            withTimeoutOrNull(IDLE_WAIT_MS) { wakeSignal.receive() }
            while (mayAct()) {
                val ops = minOf(limits.current.txnOps, writesAvailable().toInt())
                val commit = scheduler.nextCommit(loop.nowMs(), System.currentTimeMillis(), ops, yieldUntilMs > 0) ?: break
                carryOut(commit)
                afterEach()
                delay(PlacementConstants.REPLICA_ROUND_INTERVAL_MS)
            }
            afterEach()
        }
    }

    /** What of a commit one transaction has room for. */
    private class Transaction(
        val taken: List<Write>,
        val preconditions: List<Precondition>,
        val puts: List<KeyWrite>,
        /** The limits that it was made for. */
        val limits: StateLimits,
    )

    private suspend fun carryOut(wanted: Commit) {
        val transaction = transaction(wanted)
        scheduler.deferred(wanted.writes.drop(transaction.taken.size), loop.nowMs())
        writes.take(transaction.puts.size.toDouble())
        val sentAt = loop.nowMs()
        val result = outcome(store.txn(transaction.preconditions, transaction.puts, urgent = true), transaction)
        services.metrics.committed(loop.nowMs() - sentAt)
        scheduler.committed(Commit(wanted.term, transaction.taken), result, loop.nowMs())
        if (result is CommitResult.Done) transaction.taken.forEach(::tellEnd)
    }

    private fun tellEnd(write: Write) {
        when (write) {
            is Write.FinishJob -> ended(write.job.id, FinalState(JobPhase.DONE, write.job.spec.tasks, System.currentTimeMillis()))
            is Write.CancelSuccessor -> ended(write.job.id, FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis()))
            else -> {}
        }
    }

    private fun transaction(wanted: Commit): Transaction {
        val preconditions = LinkedHashMap<String, Precondition>()
        preconditions[keys.leader] = Precondition(keys.leader, wanted.term)
        val puts = ArrayList<KeyWrite>()
        val taken = ArrayList<Write>()
        val inForce = limits.current
        var bytes = 0
        for (w in wanted.writes) {
            val writes = writeEncoder.keyWrites(w)
            val size = writes.sumOf { (it as? KeyWrite.Put)?.json?.size ?: 0 } + WRITE_OVERHEAD * (writes.size + 2)
            if (puts.isNotEmpty() && (puts.size + writes.size > inForce.txnOps || bytes + size > StoreConstants.MAX_TXN_BYTES)) break
            writeEncoder.preconditionsOf(w).forEach { preconditions[it.key] = it }
            puts.addAll(writes)
            bytes += size
            taken.add(w)
        }
        return Transaction(taken, preconditions.values.toList(), puts, inForce)
    }

    private suspend fun outcome(
        result: StoreResult<TxnOutcome>,
        transaction: Transaction,
    ): CommitResult =
        when (result) {
            is StoreResult.Ok -> answered(result.value, transaction)
            is StoreResult.Refused -> {
                Log.debug("a commit of ${transaction.puts.size} writes was refused with ${result.status}")
                if (result.status == TOO_MANY) yieldToUsers()
                delay(StoreConstants.STORE_RETRY_MS)
                CommitResult.Refused
            }
            is StoreResult.Unknown -> {
                Log.info("no answer to a commit of ${transaction.puts.size} writes: ${result.reason}; the term will be raised")
                CommitResult.Unknown
            }
        }

    private suspend fun answered(
        outcome: TxnOutcome,
        transaction: Transaction,
    ): CommitResult =
        when (outcome) {
            is TxnOutcome.Applied -> CommitResult.Done(outcome.revision)
            is TxnOutcome.Failed -> failed(outcome.keys)
            is TxnOutcome.Malformed -> malformed(outcome, transaction)
            TxnOutcome.LeaseGone -> {
                leaseExpired()
                CommitResult.Refused
            }
        }

    /** Not executed. If the limits have become lower its writes go again in smaller ones; if not, there is no use in trying. */
    private fun malformed(
        outcome: TxnOutcome.Malformed,
        transaction: Transaction,
    ): CommitResult {
        check(limits.refused(transaction.limits)) { "the state service calls a transaction malformed: ${outcome.reason}" }
        Log.info("the state service permits less from now on: ${limits.current}")
        return CommitResult.Refused
    }

    private suspend fun failed(failedKeys: List<String>): CommitResult {
        if (keys.leader in failedKeys) {
            checkLeaderKey()
            return CommitResult.Refused
        }
        return CommitResult.Conflict(failedKeys.mapNotNullTo(HashSet()) { if (it.startsWith(Keys.LIVE)) it.removePrefix(Keys.LIVE) else null })
    }

    private companion object {
        const val IDLE_WAIT_MS = 100L
        const val TOO_MANY = 429

        /** Bytes of a write or guard in a transaction besides its value. */
        const val WRITE_OVERHEAD = 110
    }
}
