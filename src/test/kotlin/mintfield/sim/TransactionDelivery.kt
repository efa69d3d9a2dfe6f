package mintfield.sim

import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.LeaderRecord
import mintfield.core.Write
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase

/** Delivers the transactions of leaders to the store and returns the results; requests and responses may be lost, and requests applied late. */
class TransactionDelivery(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cancelJob: (String) -> Unit,
) {
    private enum class DeliveryOutcome { APPLIED_LATE, REQUEST_LOST, RESPONSE_LOST, DELIVERED }

    /** Fraction of the transactions that are applied but whose response is lost. */
    var lostResponseFraction = 0.0

    /** Fraction of the transactions that are applied 2 to 12 s after they were sent, when the leader no longer waits for the result. */
    var lateWriteFraction = 0.0

    /** Fraction of the transactions that arrive once more after they were applied and answered. */
    var repeatedFraction = 0.0

    /** Number of transactions that have arrived once more. */
    var repeated = 0
        private set

    /** Records that were created again by a transaction that arrived once more, after they had been deleted. */
    val recreated = ArrayList<LeaderRecord>()

    /** Fraction of the completing jobs that a user cancels within 2 ms of their completion being applied. */
    var cancelAtEndFraction = 0.0

    /** Sends [commit] for [leader] and later passes the result to its scheduler. */
    fun send(
        leader: SimulatedLeader,
        commit: Commit,
    ) {
        leader.committing = true
        val outcome = drawOutcome()
        val applyAfterMs = if (outcome == DeliveryOutcome.APPLIED_LATE) context.random.nextLong(2_000, 12_000) else context.random.nextLong(3, 60)
        cancelSomeAtEnd(commit, applyAfterMs)
        store.countWrites(commit)
        var result: CommitResult = CommitResult.Refused
        // The preconditions are fixed at the time of sending; updates that the leader receives later do not change them.
        val guardRevisions = commit.guardRevisions.toMap()
        if (outcome != DeliveryOutcome.REQUEST_LOST) {
            context.after(applyAfterMs) {
                result = store.apply(leader, commit, guardRevisions)
                val answered = outcome == DeliveryOutcome.DELIVERED && result is CommitResult.Done
                if (answered && context.repeats(repeatedFraction)) repeat(leader, commit, guardRevisions)
            }
        }
        val timesOut = outcome == DeliveryOutcome.APPLIED_LATE || outcome == DeliveryOutcome.REQUEST_LOST
        val respondAfterMs = if (timesOut) TIMEOUT_MS else applyAfterMs + context.random.nextLong(3, 60)
        context.after(respondAfterMs) { deliverResult(leader, commit, if (outcome == DeliveryOutcome.DELIVERED) result else CommitResult.Unknown) }
    }

    private fun repeat(
        leader: SimulatedLeader,
        commit: Commit,
        guardRevisions: Map<String, Long>,
    ) = context.after(context.repetitionDelayMs()) {
        repeated++
        val deleted = commit.writes.mapNotNull { it.creates }.filter { it !in store }
        if (store.apply(leader, commit, guardRevisions) is CommitResult.Done) recreated.addAll(deleted)
    }

    private fun drawOutcome(): DeliveryOutcome {
        if (context.chance(lateWriteFraction)) return DeliveryOutcome.APPLIED_LATE
        if (context.chance(lostResponseFraction)) return DeliveryOutcome.RESPONSE_LOST
        return when (context.random.nextInt(20)) {
            0 -> DeliveryOutcome.APPLIED_LATE
            1 -> DeliveryOutcome.REQUEST_LOST
            2 -> DeliveryOutcome.RESPONSE_LOST
            else -> DeliveryOutcome.DELIVERED
        }
    }

    private fun cancelSomeAtEnd(
        commit: Commit,
        applyAfterMs: Long,
    ) {
        for (write in commit.writes) {
            if (write !is Write.FinishJob || !context.chance(cancelAtEndFraction)) continue
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

    /** Reads the term again, as a controller does when the precondition on the leader key fails: the leader's own rewrite of the key may have been applied. */
    private fun readLeaderKey(leader: SimulatedLeader) {
        if (leader === leaders.current && leader.scheduler.cluster.term != store.term) leader.scheduler.termRaised(store.term, context.nowMs)
    }

    private companion object {
        /** Milliseconds that a leader waits for the result. */
        const val TIMEOUT_MS = 1_500L
    }
}
