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

/** Commits the scheduler's decisions to the store, one transaction at a time, at the rate that [pacer] permits. */
class CommitLoop(
    private val loop: EventLoop,
    private val services: ExternalServices,
    private val scheduler: Scheduler,
    private val leaderKey: String,
    private val packer: CommitPacker,
    private val pacer: WritePacer,
    private val leadership: Leadership,
    /** Called with the id and the final state of each job whose end was committed. */
    private val onJobEnded: (String, FinalState) -> Unit,
) {
    private val store = services.store
    private val limits = services.stateLimits
    private val wakeSignal = Channel<Unit>(Channel.CONFLATED)

    /** Signals that there may be something to commit. */
    fun wake() {
        wakeSignal.trySend(Unit)
    }

    /** Commits pending writes while the leader's lease holds, until cancelled. Calls [afterEach] after each transaction and each wait. */
    suspend fun run(afterEach: () -> Unit) {
        while (true) {
            withTimeoutOrNull(IDLE_WAIT_MS) { wakeSignal.receive() }
            while (leadership.mayAct()) {
                val ops = minOf(limits.current.txnOps, pacer.available())
                val commit = scheduler.nextCommit(loop.nowMs(), System.currentTimeMillis(), ops, pacer.isYielding) ?: break
                execute(commit)
                afterEach()
                delay(PlacementConstants.REPLICA_ROUND_INTERVAL_MS)
            }
            afterEach()
        }
    }

    private suspend fun execute(commit: Commit) {
        val transaction = packer.pack(commit)
        scheduler.deferred(commit.writes.drop(transaction.writes.size), loop.nowMs())
        pacer.recordWrites(transaction.keyWrites.size)
        val sentAtMs = loop.nowMs()
        val result = commitResult(store.txn(transaction.preconditions, transaction.keyWrites, urgent = true), transaction)
        services.metrics.recordCommit(loop.nowMs() - sentAtMs)
        scheduler.committed(commit.first(transaction.writes.size), result, loop.nowMs())
        if (result !is CommitResult.Done) return
        transaction.writes.forEach(::reportJobEnd)
        transaction.writes.forEach { logRound(it, result.revision) }
    }

    /** Logs which rounds are in the store, so that what a later leader replays can be told from the log. */
    private fun logRound(
        write: Write,
        revision: Long,
    ) {
        when (write) {
            is Write.RecordRound -> Log.info("round ${write.key} of revision $revision written: ${write.record.summary}")
            is Write.DeleteRound -> Log.info("round ${write.key} deleted")
            else -> {}
        }
    }

    private fun reportJobEnd(write: Write) {
        when (write) {
            is Write.FinishJob -> onJobEnded(write.job.id, FinalState(JobPhase.DONE, write.job.spec.tasks, System.currentTimeMillis()))
            is Write.CancelSuccessor -> onJobEnded(write.job.id, FinalState(JobPhase.CANCELLED, 0, System.currentTimeMillis()))
            else -> {}
        }
    }

    private suspend fun commitResult(
        result: StoreResult<TxnOutcome>,
        transaction: CommitTransaction,
    ): CommitResult =
        when (result) {
            is StoreResult.Ok -> handleOutcome(result.value, transaction)
            is StoreResult.Refused -> {
                Log.debug("commit of ${transaction.keyWrites.size} writes refused with status ${result.status}")
                if (result.status == HttpStatus.TOO_MANY_REQUESTS) pacer.yieldToUsers()
                delay(StoreConstants.STORE_RETRY_MS)
                CommitResult.Refused
            }
            is StoreResult.Unknown -> {
                Log.info("no response to a commit of ${transaction.keyWrites.size} writes: ${result.reason}; the term will be raised")
                CommitResult.Unknown
            }
        }

    private suspend fun handleOutcome(
        outcome: TxnOutcome,
        transaction: CommitTransaction,
    ): CommitResult =
        when (outcome) {
            is TxnOutcome.Applied -> CommitResult.Done(outcome.revision)
            is TxnOutcome.Failed -> handleFailedPreconditions(outcome.keys)
            is TxnOutcome.Malformed -> handleMalformed(outcome, transaction)
            TxnOutcome.LeaseNotFound -> {
                leadership.leaseExpired()
                CommitResult.Refused
            }
        }

    /**
     * Handles a transaction that was rejected as malformed, and thus not executed. If the limits have been lowered since it was packed,
     * its writes are sent again in smaller transactions. Otherwise a retry would be rejected as well, so this throws [IllegalStateException].
     */
    private fun handleMalformed(
        outcome: TxnOutcome.Malformed,
        transaction: CommitTransaction,
    ): CommitResult {
        check(limits.recordMalformed(transaction.limits)) { "the state service rejected a transaction as malformed: ${outcome.reason}" }
        Log.info("the state service has lowered its limits: ${limits.current}")
        return CommitResult.Refused
    }

    private suspend fun handleFailedPreconditions(failedKeys: List<String>): CommitResult {
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
