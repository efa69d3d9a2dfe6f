package mintfield.sim

import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.Write
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase

/** Carries the leaders' transactions to the store and the results back; either may be lost, or the transaction applied late. */
class TransactionDelivery(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cancelJob: (String) -> Unit,
) {
    private enum class Fate { APPLIED_LATE, REQUEST_LOST, ANSWER_LOST, ANSWERED }

    /** Fraction of transactions of which only the answer is lost. */
    var lostAnswerShare = 0.0

    /** Fraction of transactions that are applied seconds after the leader has given up waiting. */
    var lateWriteShare = 0.0

    /** Fraction of the jobs that end which are cancelled at the moment of their end. */
    var cancelAtEndShare = 0.0

    /** Sends [commit] for [leader], whose scheduler gets the result. */
    fun send(
        leader: SimulatedLeader,
        commit: Commit,
    ) {
        leader.committing = true
        val fate = drawFate()
        val applyAfterMs = if (fate == Fate.APPLIED_LATE) context.random.nextLong(2_000, 12_000) else context.random.nextLong(3, 60)
        cancelSomeAtEnd(commit, applyAfterMs)
        store.countWrites(commit)
        var result: CommitResult = CommitResult.Refused
        // The preconditions are those of the moment of sending, whatever the leader learns meanwhile.
        val guardRevisions = commit.guardRevisions.toMap()
        if (fate != Fate.REQUEST_LOST) context.after(applyAfterMs) { result = store.apply(leader, commit, guardRevisions) }
        val timesOut = fate == Fate.APPLIED_LATE || fate == Fate.REQUEST_LOST
        val answerAfterMs = if (timesOut) TIMEOUT_MS else applyAfterMs + context.random.nextLong(3, 60)
        context.after(answerAfterMs) { deliverResult(leader, commit, if (fate == Fate.ANSWERED) result else CommitResult.Unknown) }
    }

    private fun drawFate(): Fate {
        if (context.chance(lateWriteShare)) return Fate.APPLIED_LATE
        if (context.chance(lostAnswerShare)) return Fate.ANSWER_LOST
        return when (context.random.nextInt(20)) {
            0 -> Fate.APPLIED_LATE
            1 -> Fate.REQUEST_LOST
            2 -> Fate.ANSWER_LOST
            else -> Fate.ANSWERED
        }
    }

    private fun cancelSomeAtEnd(
        commit: Commit,
        applyAfterMs: Long,
    ) {
        for (write in commit.writes) {
            if (write !is Write.FinishJob || !context.chance(cancelAtEndShare)) continue
            context.after(applyAfterMs + context.random.nextLong(-2, 2)) { cancelJob(write.job.id) }
        }
    }

    private fun deliverResult(
        leader: SimulatedLeader,
        commit: Commit,
        result: CommitResult,
    ) {
        leader.committing = false
        if (result is CommitResult.Refused) readLeaderKey(leader)
        leader.scheduler.committed(commit, result, context.nowMs)
        if (result !is CommitResult.Done) return
        for (write in commit.writes) {
            if (write is Write.FinishJob) leader.dependencies.onJobEnded(write.job.id, FinalState(JobPhase.DONE, 0, context.nowMs))
        }
    }

    /** As a controller does when the precondition on the leader key fails: its own rewriting of the key may have been applied. */
    private fun readLeaderKey(leader: SimulatedLeader) {
        if (leader === leaders.current && leader.scheduler.cluster.term != store.term) leader.scheduler.termRaised(store.term, context.nowMs)
    }

    private companion object {
        /** Milliseconds after which a leader gives up waiting for the result. */
        const val TIMEOUT_MS = 1_500L
    }
}
