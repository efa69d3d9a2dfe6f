package mintfield.core

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PlacementConstants
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.FailureAttribution
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlanJournal
import mintfield.core.model.Shape
import mintfield.core.placement.SchedulingRound

/** Decides what the leader writes next, and takes in what became of it. Runs the rounds of placement whose plans are written. */
class CommitPlanner(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val planJournal: PlanJournal,
    private val failureAttribution: FailureAttribution,
    private val inheritedUrgency: InheritedUrgency,
    /** Told of a job that is finished or swept. */
    private val ended: (String, Long) -> Unit,
    private val log: (String) -> Unit,
) {
    private val round = SchedulingRound(cluster, log)
    private val learnedStateBlocks = LearnedStateBlocks(cluster)
    private var lastRaiseMs = Machine.NEVER
    private var raiseNow = false
    private var lastRoundMs = Machine.NEVER
    private var lastReplicaRoundMs = Machine.NEVER

    /** Writes of one transaction, with how many more there is room for. */
    private class Batch(
        var left: Int,
    ) {
        val writes = ArrayList<Write>()

        fun add(
            write: Write,
            cost: Int = 1,
        ) {
            writes.add(write)
            left -= cost
        }

        /** Adds of [candidates] as many as there is room for. */
        fun <T> addAll(
            candidates: Sequence<T>,
            write: (T) -> Write,
        ) = candidates.take(maxOf(0, left)).forEach { add(write(it)) }
    }

    /**
     * The next transaction: a round of placement first, then whatever is to be written, the urgent first.
     * [ops] is how many writes the pace allows now. Null if there is nothing to write.
     */
    fun next(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean,
    ): Commit? {
        if (raiseNow || (cluster.raiseWanted && nowMs - lastRaiseMs >= LeadershipConstants.MIN_TERM_RAISE_INTERVAL_MS)) {
            return Commit(cluster.term, listOf(Write.RaiseTerm))
        }
        zoneFencing.look(nowMs, wallMs)
        val scarce = ops < cluster.limits.txnOps * PlacementConstants.PLENTIFUL_WRITES_FRACTION
        place(nowMs, wallMs, scarce)
        val batch = Batch(ops)
        addZoneFences(batch)
        addCancelledSuccessors(batch)
        addFinished(batch)
        planJournal.refresh(nowMs)
        batch.left -=
            planJournal.add(
                batch.writes,
                batch.left,
                if (scarce) PlacementConstants.DONE_BATCH_DELAY_SCARCE_WRITES_MS else PlacementConstants.DONE_BATCH_DELAY_MS,
                nowMs,
            )
        addScaleOutIntents(batch)
        // While users wait for their writes, what is left of ended jobs may wait for them.
        if (!yielding || planJournal.obsoleteRounds.size >= MAX_OBSOLETE_ROUNDS) addGarbageCollection(batch, nowMs)
        return if (batch.writes.isEmpty()) null else Commit(cluster.term, batch.writes)
    }

    /** Machines wait for the one, and a successor's proof hangs on the other. */
    private fun addZoneFences(batch: Batch) {
        batch.addAll(zoneFencing.fencesToLift.asSequence()) { Write.LiftZoneFence(it) }
        batch.addAll(zoneFencing.fencesToWrite.asSequence()) { Write.FenceZone(it) }
    }

    /** Their predecessors' users have been told: within `cancel_s` these must say so too. */
    private fun addCancelledSuccessors(batch: Batch) {
        for (job in cluster.cancelledByDependency) {
            if (batch.left < FINISH_COST && batch.writes.isNotEmpty()) return
            if (job.cancellationRecorded || job.finishing || job.unreadable || job.begun) continue
            batch.add(Write.CancelSuccessor(job), FINISH_COST)
        }
    }

    private fun addFinished(batch: Batch) {
        for (job in cluster.jobs.values) {
            if (batch.left <= 0) return
            if (!job.allDone || job.unreadable || job.finishing || job.cancelled || job.activeAttempts.isNotEmpty()) continue
            if (batch.left < FINISH_COST && batch.writes.isNotEmpty()) continue
            batch.add(Write.FinishJob(job), FINISH_COST)
        }
    }

    private fun addScaleOutIntents(batch: Batch) {
        batch.addAll(fleet.wantedIntents.asSequence().take(1)) { Write.WriteIntent(it) }
        // An intent left behind is carried out again by the next leader, at the cloud's slow pace.
        batch.addAll(fleet.completedIntents.asSequence()) { Write.DeleteIntent(it) }
    }

    private fun addGarbageCollection(
        batch: Batch,
        nowMs: Long,
    ) {
        val ended =
            cluster.jobs.values
                .asSequence()
                .filter { it.cancellationRecorded && it.activeAttempts.isEmpty() && !it.finishing }
        batch.addAll(ended) { Write.DeleteJobRecord(it) }
        if (batch.left > 0) learnedStateBlocks.due(nowMs)?.let { batch.add(it) }
        planJournal.obsoleteRounds.take(maxOf(0, batch.left - GC_RESERVE)).forEach { batch.add(Write.DeleteRound(it)) }
    }

    /** A round, if one is due. Replicas do not wait for the next one of arrays, and do not bring it forward either. */
    private fun place(
        nowMs: Long,
        wallMs: Long,
        scarce: Boolean,
    ) {
        val most = cluster.roundTasks()
        if (cluster.roundWanted ||
            nowMs - lastRoundMs >= if (scarce) PlacementConstants.ROUND_INTERVAL_SCARCE_WRITES_MS else PlacementConstants.ROUND_INTERVAL_MS
        ) {
            lastRoundMs = nowMs
            lastReplicaRoundMs = nowMs
            cluster.roundWanted = false
            inheritedUrgency.refresh(nowMs, wallMs)
            failureAttribution.checkUnprovenJobs(nowMs)
            round.run(nowMs, wallMs, most)
            return
        }
        if (nowMs - lastReplicaRoundMs < PlacementConstants.REPLICA_ROUND_INTERVAL_MS) return
        if (cluster.jobs.values.none { it.spec.shape == Shape.SERVICE && !it.cancelled && nowMs >= it.notBeforeMs && it.schedulableTasks > 0 }) return
        // What finds no room now will hardly find any before the next round of all.
        lastReplicaRoundMs = if (round.run(nowMs, wallMs, most, replicasOnly = true) > 0) nowMs else nowMs + PlacementConstants.ROUND_INTERVAL_MS
    }

    /** What became of [commit]. */
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
                // It may be there all the same; its key must go in the end, whether or not it is.
                commit.writes.forEach { if (it is Write.RecordRound) planJournal.deleteLater(it.key) }
                raiseNow = true
            }
        }
    }

    /** The job changed under us, by its user's abort; the view will tell. What was never written was never sent. */
    private fun conflicted(
        job: Job,
        guardedRevision: Long?,
        nowMs: Long,
    ) {
        // The view may have told of the change before the answer came; then nothing else will.
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
                log("${write.job.spec.id}: record deleted")
                ended(write.job.spec.id, nowMs)
            }
            is Write.WriteIntent -> {
                fleet.wantedIntents.remove(write.intent)
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
        val places = seconds(job.lastPlanAtMs - job.firstSeenAtMs)
        val images = seconds(maxOf(0, job.lastRunAtMs - job.lastPlanAtMs))
        val run = seconds(nowMs - maxOf(job.lastRunAtMs, job.lastPlanAtMs))
        log(
            "${job.id} (${job.spec.jobClass}, ${job.spec.tasks} tasks): done, $places s until its last task was placed, $images s until that task ran, $run s to its end",
        )
        ended(job.spec.id, nowMs)
    }

    private fun seconds(ms: Long) = "%.1f".format(ms / 1000.0)

    /** A write without an answer may yet be carried out: the term must rise, so that its guard fails. */
    fun fenceLateWrites() {
        raiseNow = true
    }

    /** The leader key was rewritten: starts under lower terms are void wherever the new one is seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) {
        log("term ${cluster.term} becomes $term")
        cluster.term = term
        cluster.raiseWanted = false
        raiseNow = false
        lastRaiseMs = nowMs
    }

    private companion object {
        /** Writes that a final state takes: itself, and the end of the job's record. */
        const val FINISH_COST = 2

        /** Records that may wait to be swept while users wait; more would cost a successor too much time to read. */
        const val MAX_OBSOLETE_ROUNDS = 300

        /** Writes of a transaction that are kept from sweeping, as something urgent may come at any moment. */
        const val GC_RESERVE = 6
    }
}
