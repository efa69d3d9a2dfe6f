package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.FailureAttribution
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlanJournal

/** Runs the scheduling rounds that are due, plans the leader's next transaction, and applies the outcome of each commit to the state. */
class CommitPlanner(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val planJournal: PlanJournal,
    failureAttribution: FailureAttribution,
    inheritedUrgency: InheritedUrgency,
    /** Called with the id of a job that has ended or whose record was deleted, and the time. */
    private val onJobEnded: (String, Long) -> Unit,
    private val log: (String) -> Unit,
) {
    private val rounds = RoundTrigger(cluster, failureAttribution, inheritedUrgency, log)
    private val learnedStateBlocks = LearnedStateBlocks(cluster)
    private var lastRaiseMs = Machine.NEVER
    private var raiseNow = false
    private val deletions = DeletionPolicy(cluster)

    /**
     * Returns the next transaction, with urgent writes first, or null if there is nothing to write. It holds the plans of the
     * scheduling rounds and all other pending writes. The rate limit permits [ops] writes now. [yielding] is true while users wait
     * for writes of their own.
     */
    fun next(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean,
    ): Commit? {
        if (raiseNow) return Commit(cluster.term, listOf(Write.RaiseTerm))
        zoneFencing.updateFences(nowMs, wallMs)
        val scarce = ops < cluster.limits.txnOps * PlacementConstants.PLENTIFUL_WRITES_FRACTION
        rounds.runIfDue(nowMs, wallMs, scarce)
        val batch = CommitBatch(ops)
        // Garbage collection yields to the writes that users wait for.
        val collectsGarbage = !yielding || planJournal.obsoleteRounds.size >= MAX_OBSOLETE_ROUNDS
        if (mustRaiseToDelete(collectsGarbage, nowMs)) batch.add(Write.RaiseTerm)
        addZoneFences(batch)
        addCancelledSuccessors(batch)
        addFinished(batch)
        addRounds(batch, scarce, nowMs)
        addScaleOutIntents(batch)
        if (collectsGarbage) addGarbageCollection(batch, nowMs)
        if (batch.writes.isEmpty() && isRaiseDue(nowMs)) batch.add(Write.RaiseTerm)
        return if (batch.writes.isEmpty()) null else Commit(cluster.term, batch.writes)
    }

    /** Whether a machine waits for a higher token. The revision of any other transaction provides one as well. */
    private fun isRaiseDue(nowMs: Long): Boolean = cluster.tokens.raiseRequested && nowMs - lastRaiseMs >= LeadershipConstants.MIN_TERM_RAISE_INTERVAL_MS

    /**
     * Whether records that are to be deleted were created in the current term. The lifting of a fence does not wait for the next raise, as
     * machines wait for it.
     */
    private fun mustRaiseToDelete(
        collectsGarbage: Boolean,
        nowMs: Long,
    ): Boolean {
        if (zoneFencing.fencesToLift.any { !deletions.mayDelete(LeaderRecord.Fence(it)) }) return true
        if (!collectsGarbage || nowMs - lastRaiseMs < LeadershipConstants.GARBAGE_TERM_RAISE_INTERVAL_MS) return false
        return planJournal.obsoleteRounds.any { !deletions.mayDelete(LeaderRecord.Round(it)) } ||
            fleet.completedIntents.any { !deletions.mayDelete(LeaderRecord.Intent(it)) }
    }

    /** Whether [batch] may contain the deletion of [record]. */
    private fun mayDelete(
        record: LeaderRecord,
        batch: CommitBatch,
    ): Boolean = Write.RaiseTerm in batch.writes || deletions.mayDelete(record)

    /** Machines wait for fences to be lifted, and a new leader relies on recorded fences as proof of expired leases. */
    private fun addZoneFences(batch: CommitBatch) {
        batch.addAll(zoneFencing.fencesToLift.asSequence()) { Write.LiftZoneFence(it) }
        batch.addAll(zoneFencing.fencesToWrite.asSequence()) { Write.FenceZone(it) }
    }

    /** Cancels jobs with a cancelled predecessor. They must be cancelled within `cancel_s` of its cancellation being confirmed to the user. */
    private fun addCancelledSuccessors(batch: CommitBatch) {
        for (job in cluster.cancelledByDependency) {
            if (batch.isFullFor(FINISH_COST)) return
            if (job.cancellationRecorded || job.finishing || job.unreadable || job.hasStartedTasks) continue
            batch.add(Write.CancelSuccessor(job), FINISH_COST)
        }
    }

    private fun addFinished(batch: CommitBatch) {
        for (job in cluster.jobs.values) {
            if (batch.remaining <= 0) return
            if (!isFinished(job) || batch.isFullFor(FINISH_COST)) continue
            batch.add(Write.FinishJob(job), FINISH_COST)
        }
    }

    private fun isFinished(job: Job): Boolean {
        if (!job.allDone || job.activeAttempts.isNotEmpty()) return false
        return !job.unreadable && !job.finishing && !job.cancelled
    }

    private fun addRounds(
        batch: CommitBatch,
        scarce: Boolean,
        nowMs: Long,
    ) {
        planJournal.refresh(nowMs)
        val doneDelayMs = if (scarce) PlacementConstants.DONE_BATCH_DELAY_SCARCE_WRITES_MS else PlacementConstants.DONE_BATCH_DELAY_MS
        batch.addBy { writes, capacity -> planJournal.add(writes, capacity, doneDelayMs, nowMs) }
    }

    private fun addScaleOutIntents(batch: CommitBatch) {
        batch.addAll(fleet.unrecordedIntents.asSequence().take(1)) { Write.WriteIntent(it) }
        // A new leader would repeat any remaining intent, at the low rate of cloud requests.
        batch.addAll(fleet.completedIntents.asSequence().filter { mayDelete(LeaderRecord.Intent(it), batch) }) { Write.DeleteIntent(it) }
    }

    private fun addGarbageCollection(
        batch: CommitBatch,
        nowMs: Long,
    ) {
        val cancelledWithoutAttempts =
            cluster.jobs.values
                .asSequence()
                .filter { it.cancellationRecorded && it.activeAttempts.isEmpty() && !it.finishing }
        batch.addAll(cancelledWithoutAttempts) { Write.DeleteJobRecord(it) }
        if (batch.remaining > 0) learnedStateBlocks.due(nowMs)?.let { batch.add(it) }
        val obsolete = planJournal.obsoleteRounds.asSequence().filter { mayDelete(LeaderRecord.Round(it), batch) }
        obsolete.take(maxOf(0, batch.remaining - GC_RESERVE)).toList().forEach { batch.add(Write.DeleteRound(it)) }
    }

    /** Applies the [result] of [commit] to the leader's state. */
    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) {
        when (result) {
            is CommitResult.Done -> {
                cluster.tokens.leadershipConfirmed(result.revision)
                deletions.onApplied(commit)
                commit.writes.forEach { onWritten(it, result.revision, nowMs) }
            }
            is CommitResult.Conflict -> {
                planJournal.markUnwritten(commit.writes, nowMs)
                result.jobs.forEach { id -> cluster.jobs[id]?.let { conflicted(it, commit.guardRevisions[id], nowMs) } }
            }
            CommitResult.Refused -> planJournal.markUnwritten(commit.writes, nowMs)
            CommitResult.Unknown -> {
                deletions.onSent(commit)
                planJournal.outcomeUnknown(commit.writes, nowMs)
                raiseNow = true
            }
        }
    }

    /**
     * Handles a conflict on the record of [job], which its user changed by cancelling the job. The replica delivers the change. The job's
     * unwritten plans, which were never sent to workers, end here.
     */
    private fun conflicted(
        job: Job,
        guardedRevision: Long?,
        nowMs: Long,
    ) {
        // If the replica delivered the change before the response arrived, nothing else resets `finishing`.
        if (job.revision != guardedRevision) return
        job.activeAttempts.filter { it.state == AttemptState.PLANNING }.forEach { cluster.stop(it, nowMs, "the job changed") }
        job.finish()
    }

    private fun onWritten(
        write: Write,
        revision: Long,
        nowMs: Long,
    ) {
        when (write) {
            is Write.RecordRound -> planJournal.onRoundWritten(write, revision, nowMs)
            is Write.DeleteRound -> planJournal.onRoundDeleted(write.key)
            is Write.FinishJob -> finished(write.job, nowMs)
            is Write.CancelSuccessor -> {
                log("${write.job.id}: cancelled because a predecessor was cancelled")
                onJobEnded(write.job.id, nowMs)
            }
            is Write.DeleteJobRecord -> {
                log("${write.job.id}: record deleted")
                onJobEnded(write.job.id, nowMs)
            }
            is Write.WriteIntent -> {
                fleet.unrecordedIntents.remove(write.intent)
                fleet.intents[write.intent.idempotencyKey] = write.intent
            }
            is Write.SaveLearnedState -> {}
            is Write.FenceZone -> zoneFencing.onFenceWritten(write.record)
            is Write.LiftZoneFence -> zoneFencing.onFenceDeleted(write.key)
            is Write.DeleteIntent -> fleet.completedIntents.remove(write.idempotencyKey)
            Write.RaiseTerm -> termRaised(revision, nowMs)
        }
    }

    private fun finished(
        job: Job,
        nowMs: Long,
    ) {
        job.finish()
        val placementS = seconds(job.lastPlanAtMs - job.firstSeenAtMs)
        val imageS = seconds(maxOf(0, job.lastRunAtMs - job.lastPlanAtMs))
        val runS = seconds(nowMs - maxOf(job.lastRunAtMs, job.lastPlanAtMs))
        log(
            "${job.id} (${job.spec.jobClass}, ${job.spec.tasks} tasks): done, $placementS s until its last task was placed, " +
                "$imageS s until that task ran, $runS s to its end",
        )
        onJobEnded(job.id, nowMs)
    }

    private fun seconds(ms: Long) = "%.1f".format(ms / TimeUnits.MS_PER_SECOND.toDouble())

    /** Requests a higher term, so that the precondition of an unanswered write fails if the write is still carried out later. */
    fun fenceLateWrites() {
        raiseNow = true
    }

    /** Adopts [term] after the leader key was rewritten: transactions under lower terms can no longer be applied. */
    fun termRaised(
        term: Long,
        nowMs: Long,
    ) {
        log("term ${cluster.term} becomes $term")
        cluster.termRaised(term)
        raiseNow = false
        lastRaiseMs = nowMs
    }

    private companion object {
        /** Writes for a final state: the state itself and the deletion of the job's record. */
        const val FINISH_COST = 2

        /** Maximum number of obsolete round records kept while users wait for writes. A new leader has to read them all. */
        const val MAX_OBSOLETE_ROUNDS = 300

        /** Writes of a transaction reserved for urgent changes, which may arise at any moment, and not used for deleting round records. */
        const val GC_RESERVE = 6
    }
}
