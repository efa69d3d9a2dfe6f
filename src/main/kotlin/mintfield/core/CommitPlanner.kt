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

/** Decides what the leader writes next, after running the scheduling rounds that are due, and takes in what became of each commit. */
class CommitPlanner(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val planJournal: PlanJournal,
    failureAttribution: FailureAttribution,
    inheritedUrgency: InheritedUrgency,
    /** Told of a job that has ended or whose record was deleted, and the time. */
    private val ended: (String, Long) -> Unit,
    private val log: (String) -> Unit,
) {
    private val rounds = RoundTrigger(cluster, failureAttribution, inheritedUrgency, log)
    private val learnedStateBlocks = LearnedStateBlocks(cluster)
    private var lastRaiseMs = Machine.NEVER
    private var raiseNow = false

    /**
     * The next transaction: what a scheduling round has planned, and everything else to be written, the urgent first. The pace
     * permits [ops] writes now; with [yielding] users wait for writes of their own. Null if there is nothing to write.
     */
    fun next(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean,
    ): Commit? {
        if (isRaiseDue(nowMs)) return Commit(cluster.term, listOf(Write.RaiseTerm))
        zoneFencing.updateFences(nowMs, wallMs)
        val scarce = ops < cluster.limits.txnOps * PlacementConstants.PLENTIFUL_WRITES_FRACTION
        rounds.runIfDue(nowMs, wallMs, scarce)
        val batch = CommitBatch(ops)
        addZoneFences(batch)
        addCancelledSuccessors(batch)
        addFinished(batch)
        addRounds(batch, scarce, nowMs)
        addScaleOutIntents(batch)
        // While users wait for their writes, garbage collection can wait for them.
        if (!yielding || planJournal.obsoleteRounds.size >= MAX_OBSOLETE_ROUNDS) addGarbageCollection(batch, nowMs)
        return if (batch.writes.isEmpty()) null else Commit(cluster.term, batch.writes)
    }

    private fun isRaiseDue(nowMs: Long): Boolean = raiseNow || (cluster.raiseWanted && nowMs - lastRaiseMs >= LeadershipConstants.MIN_TERM_RAISE_INTERVAL_MS)

    /** Machines wait for a fence to be lifted, and a successor's proof of expired leases depends on one that is written. */
    private fun addZoneFences(batch: CommitBatch) {
        batch.addAll(zoneFencing.fencesToLift.asSequence()) { Write.LiftZoneFence(it) }
        batch.addAll(zoneFencing.fencesToWrite.asSequence()) { Write.FenceZone(it) }
    }

    /** The users of their predecessors have been told of the cancellation: within `cancel_s` these jobs must be cancelled as well. */
    private fun addCancelledSuccessors(batch: CommitBatch) {
        for (job in cluster.cancelledByDependency) {
            if (batch.lacksRoomFor(FINISH_COST)) return
            if (job.cancellationRecorded || job.finishing || job.unreadable || job.hasStartedTasks) continue
            batch.add(Write.CancelSuccessor(job), FINISH_COST)
        }
    }

    private fun addFinished(batch: CommitBatch) {
        for (job in cluster.jobs.values) {
            if (batch.remaining <= 0) return
            if (!isFinished(job) || batch.lacksRoomFor(FINISH_COST)) continue
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
        batch.addBy { writes, room -> planJournal.add(writes, room, doneDelayMs, nowMs) }
    }

    private fun addScaleOutIntents(batch: CommitBatch) {
        batch.addAll(fleet.unrecordedIntents.asSequence().take(1)) { Write.WriteIntent(it) }
        // A successor would carry out an intent that is left behind once more, at the slow pace of cloud requests.
        batch.addAll(fleet.completedIntents.asSequence()) { Write.DeleteIntent(it) }
    }

    private fun addGarbageCollection(
        batch: CommitBatch,
        nowMs: Long,
    ) {
        val cancelledAndGone =
            cluster.jobs.values
                .asSequence()
                .filter { it.cancellationRecorded && it.activeAttempts.isEmpty() && !it.finishing }
        batch.addAll(cancelledAndGone) { Write.DeleteJobRecord(it) }
        if (batch.remaining > 0) learnedStateBlocks.due(nowMs)?.let { batch.add(it) }
        planJournal.obsoleteRounds.take(maxOf(0, batch.remaining - GC_RESERVE)).forEach { batch.add(Write.DeleteRound(it)) }
    }

    /** Takes in the [result] of [commit]. */
    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) {
        when (result) {
            is CommitResult.Done -> commit.writes.forEach { written(it, result.revision, nowMs) }
            is CommitResult.Conflict -> {
                planJournal.putBack(commit.writes, nowMs)
                result.jobs.forEach { id -> cluster.jobs[id]?.let { conflicted(it, commit.guardRevisions[id], nowMs) } }
            }
            CommitResult.Refused -> planJournal.putBack(commit.writes, nowMs)
            CommitResult.Unknown -> {
                planJournal.putBack(commit.writes, nowMs)
                // Its round records may be there all the same, and must be deleted in the end if they are.
                commit.writes.forEach { if (it is Write.RecordRound) planJournal.deleteLater(it.key) }
                raiseNow = true
            }
        }
    }

    /** The job's record has changed, because its user has cancelled it: the replica will tell. What was never written was never sent. */
    private fun conflicted(
        job: Job,
        guardedRevision: Long?,
        nowMs: Long,
    ) {
        // The replica may have told of the change before the answer came; then nothing else will reset `finishing`.
        if (job.revision != guardedRevision) return
        job.activeAttempts.filter { it.state == AttemptState.PLANNING }.forEach { cluster.stop(it, nowMs, "the job changed") }
        job.finish()
    }

    private fun written(
        write: Write,
        revision: Long,
        nowMs: Long,
    ) {
        when (write) {
            is Write.RecordRound -> planJournal.written(write, revision, nowMs)
            is Write.DeleteRound -> planJournal.deleted(write.key)
            is Write.FinishJob -> finished(write.job, nowMs)
            is Write.CancelSuccessor -> {
                log("${write.job.id}: cancelled with a predecessor")
                ended(write.job.id, nowMs)
            }
            is Write.DeleteJobRecord -> {
                log("${write.job.id}: record deleted")
                ended(write.job.id, nowMs)
            }
            is Write.WriteIntent -> {
                fleet.unrecordedIntents.remove(write.intent)
                fleet.intents[write.intent.idempotencyKey] = write.intent
            }
            is Write.SaveLearnedState -> {}
            is Write.FenceZone -> zoneFencing.written(write.record)
            is Write.LiftZoneFence -> zoneFencing.deleted(write.key)
            is Write.DeleteIntent -> fleet.completedIntents.remove(write.idempotencyKey)
            Write.RaiseTerm -> raised(revision, nowMs)
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
        ended(job.id, nowMs)
    }

    private fun seconds(ms: Long) = "%.1f".format(ms / TimeUnits.MS_PER_SECOND.toDouble())

    /** A write without an answer may still be carried out: the term must rise, so that its precondition fails. */
    fun fenceLateWrites() {
        raiseNow = true
    }

    /** The leader key was rewritten: starts under lower terms are void wherever the new [term] has been seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) {
        log("term ${cluster.term} becomes $term")
        cluster.termRaised(term)
        raiseNow = false
        lastRaiseMs = nowMs
    }

    private companion object {
        /** Writes that a final state takes: itself, and the deletion of the job's record. */
        const val FINISH_COST = 2

        /** Round records whose deletion may wait while users wait; a successor has to read them all. */
        const val MAX_OBSOLETE_ROUNDS = 300

        /** Writes of a transaction that are not used for deleting round records, as something urgent may come at any moment. */
        const val GC_RESERVE = 6
    }
}
