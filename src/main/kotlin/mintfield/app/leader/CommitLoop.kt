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
import mintfield.io.http.HttpStatus
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.Keys
import mintfield.io.store.StoreResult
import mintfield.io.store.TxnOutcome

/** Writes what the scheduler decides to the state service, one transaction at a time, at the pace of [pacer]. */
class CommitLoop(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val scheduler: Scheduler,
    private val leaderKey: String,
    private val packer: CommitPacker,
    private val pacer: WritePacer,
    private val leadership: Leadership,
    /** Called with the final states that were written. */
    private val ended: (String, FinalState) -> Unit,
) {
    private val store = services.store
    private val limits = services.stateLimits
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)

    /** Something may have to be written. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    /** Writes whenever there is something to write, until cancelled. [afterEach] is called after each transaction and each wait. */
    suspend fun run(afterEach: () -> Unit) {
        while (true) {
            withTimeoutOrNull(IDLE_WAIT_MS) { wakeSignal.receive() }
            while (leadership.mayAct()) {
                val ops = minOf(limits.current.txnOps, pacer.available())
                val commit = scheduler.nextCommit(loop.nowMs(), System.currentTimeMillis(), ops, pacer.isYielding) ?: break
                carryOut(commit)
                afterEach()
                delay(PlacementConstants.REPLICA_ROUND_INTERVAL_MS)
            }
            afterEach()
        }
    }

    private suspend fun carryOut(wanted: Commit) {
        val transaction = packer.pack(wanted)
        scheduler.deferred(wanted.writes.drop(transaction.taken.size), loop.nowMs())
        pacer.take(transaction.keyWrites.size)
        val sentAtMs = loop.nowMs()
        val result = commitResult(store.txn(transaction.preconditions, transaction.keyWrites, urgent = true), transaction)
        services.metrics.committed(loop.nowMs() - sentAtMs)
        scheduler.committed(Commit(wanted.term, transaction.taken), result, loop.nowMs())
        if (result is CommitResult.Done) transaction.taken.forEach(::reportEnd)
    }

    private fun reportEnd(write: Write) {
        when (write) {
            is Write.FinishJob -> ended(write.job.id, FinalState(JobPhase.DONE, write.job.spec.tasks, System.currentTimeMillis()))
            is Write.CancelSuccessor -> ended(write.job.id, FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis()))
            else -> {}
        }
    }

    private suspend fun commitResult(
        result: StoreResult<TxnOutcome>,
        transaction: CommitTransaction,
    ): CommitResult =
        when (result) {
            is StoreResult.Ok -> answered(result.value, transaction)
            is StoreResult.Refused -> {
                Log.debug("a commit of ${transaction.keyWrites.size} writes was refused with ${result.status}")
                if (result.status == HttpStatus.TOO_MANY_REQUESTS) pacer.yieldToUsers()
                delay(StoreConstants.STORE_RETRY_MS)
                CommitResult.Refused
            }
            is StoreResult.Unknown -> {
                Log.info("no answer to a commit of ${transaction.keyWrites.size} writes: ${result.reason}; the term will be raised")
                CommitResult.Unknown
            }
        }

    private suspend fun answered(
        outcome: TxnOutcome,
        transaction: CommitTransaction,
    ): CommitResult =
        when (outcome) {
            is TxnOutcome.Applied -> CommitResult.Done(outcome.revision)
            is TxnOutcome.Failed -> preconditionFailed(outcome.keys)
            is TxnOutcome.Malformed -> malformed(outcome, transaction)
            TxnOutcome.LeaseNotFound -> {
                leadership.leaseExpired()
                CommitResult.Refused
            }
        }

    /** Not executed. If the limits have become lower, the writes are sent again in smaller transactions; if not, that would be of no use. */
    private fun malformed(
        outcome: TxnOutcome.Malformed,
        transaction: CommitTransaction,
    ): CommitResult {
        check(limits.recordMalformed(transaction.limits)) { "the state service calls a transaction malformed: ${outcome.reason}" }
        Log.info("the state service permits less from now on: ${limits.current}")
        return CommitResult.Refused
    }

    private suspend fun preconditionFailed(failedKeys: List<String>): CommitResult {
        if (leaderKey in failedKeys) {
            leadership.checkLeaderKey()
            return CommitResult.Refused
        }
        return CommitResult.Conflict(failedKeys.mapNotNullTo(HashSet()) { if (it.startsWith(Keys.LIVE)) it.removePrefix(Keys.LIVE) else null })
    }

    private companion object {
        const val IDLE_WAIT_MS = 100L
    }
}
