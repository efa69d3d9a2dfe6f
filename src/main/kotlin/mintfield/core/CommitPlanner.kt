package mintfield.core

import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine
import mintfield.core.fleet.SilentZones
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.FailureAttribution
import mintfield.core.jobs.Job
import mintfield.core.jobs.RoundLedger
import mintfield.core.model.Shape
import mintfield.core.placement.Round

/** Decides what the leader writes next, and takes in what became of it. Runs the rounds of placement whose plans are written. */
class CommitPlanner(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val disowning: SilentZones,
    private val ledger: RoundLedger,
    private val blame: FailureAttribution,
    private val inheritedUrgency: InheritedUrgency,
    /** Told of a job that is finished or swept. */
    private val ended: (String, Long) -> Unit,
    private val log: (String) -> Unit,
) {
    private val round = Round(cluster, log)
    private val hintBlocks = HintBlocks(cluster)
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
        if (raiseNow || (cluster.raiseWanted && nowMs - lastRaiseMs >= Tuning.RAISE_TERM_GAP_MS)) {
            return Commit(cluster.term, listOf(Write.RaiseTerm))
        }
        disowning.look(nowMs, wallMs)
        val scarce = ops < cluster.limits.txnOps * Tuning.PLENTY_SHARE
        place(nowMs, wallMs, scarce)
        val batch = Batch(ops)
        addDisowning(batch)
        addCancelledSuccessors(batch)
        addFinished(batch)
        ledger.refresh(nowMs)
        batch.left -= ledger.add(batch.writes, batch.left, if (scarce) Tuning.DONE_BATCH_BUSY_MS else Tuning.DONE_BATCH_MS, nowMs)
        addRentals(batch)
        // While users wait for their writes, what is left of ended jobs may wait for them.
        if (!yielding || ledger.leftOver.size >= MOST_LEFT_OVER) addSweeps(batch, nowMs)
        return if (batch.writes.isEmpty()) null else Commit(cluster.term, batch.writes)
    }

    /** Machines wait for the one, and a successor's proof hangs on the other. */
    private fun addDisowning(batch: Batch) {
        batch.addAll(disowning.unwanted.asSequence()) { Write.Own(it) }
        batch.addAll(disowning.wanted.asSequence()) { Write.Disown(it) }
    }

    /** Their predecessors' users have been told: within `cancel_s` these must say so too. */
    private fun addCancelledSuccessors(batch: Batch) {
        for (job in cluster.doomed) {
            if (batch.left < FINISH_COST && batch.writes.isNotEmpty()) return
            if (job.withdrawnInRecord || job.finishing || job.unreadable || job.begun) continue
            batch.add(Write.CancelSuccessor(job), FINISH_COST)
        }
    }

    private fun addFinished(batch: Batch) {
        for (job in cluster.jobs.values) {
            if (batch.left <= 0) return
            if (!job.allDone || job.unreadable || job.finishing || job.withdrawn || job.activeAttempts.isNotEmpty()) continue
            if (batch.left < FINISH_COST && batch.writes.isNotEmpty()) continue
            batch.add(Write.Finish(job), FINISH_COST)
        }
    }

    private fun addRentals(batch: Batch) {
        batch.addAll(fleet.wishes.asSequence().take(1)) { Write.Intend(it) }
        // An intent left behind is carried out again by the next leader, at the cloud's slow pace.
        batch.addAll(fleet.spentIntents.asSequence()) { Write.DropIntent(it) }
    }

    private fun addSweeps(
        batch: Batch,
        nowMs: Long,
    ) {
        val ended =
            cluster.jobs.values
                .asSequence()
                .filter { it.withdrawnInRecord && it.activeAttempts.isEmpty() && !it.finishing }
        batch.addAll(ended) { Write.Sweep(it) }
        if (batch.left > 0) hintBlocks.due(nowMs)?.let { batch.add(it) }
        ledger.leftOver.take(maxOf(0, batch.left - SWEEP_RESERVE)).forEach { batch.add(Write.SweepRound(it)) }
    }

    /** A round, if one is due. Replicas do not wait for the next one of arrays, and do not bring it forward either. */
    private fun place(
        nowMs: Long,
        wallMs: Long,
        scarce: Boolean,
    ) {
        val most = cluster.roundTasks()
        if (cluster.roundWanted || nowMs - lastRoundMs >= if (scarce) Tuning.ARRAY_ROUND_BUSY_MS else Tuning.ARRAY_ROUND_MS) {
            lastRoundMs = nowMs
            lastReplicaRoundMs = nowMs
            cluster.roundWanted = false
            inheritedUrgency.refresh(nowMs, wallMs)
            blame.look(nowMs)
            round.run(nowMs, wallMs, most)
            return
        }
        if (nowMs - lastReplicaRoundMs < Tuning.ROUND_MS) return
        if (cluster.jobs.values.none { it.spec.shape == Shape.SERVICE && !it.withdrawn && nowMs >= it.notBeforeMs && it.askable > 0 }) return
        // What finds no room now will hardly find any before the next round of all.
        lastReplicaRoundMs = if (round.run(nowMs, wallMs, most, replicasOnly = true) > 0) nowMs else nowMs + Tuning.ARRAY_ROUND_MS
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
                ledger.putBack(commit.writes, nowMs)
                result.jobs.forEach { id -> cluster.jobs[id]?.let { conflicted(it, commit.marks[id], nowMs) } }
            }
            CommitResult.Refused -> ledger.putBack(commit.writes, nowMs)
            CommitResult.Unknown -> {
                ledger.putBack(commit.writes, nowMs)
                // It may be there all the same; its key must go in the end, whether or not it is.
                commit.writes.forEach { if (it is Write.RecordRound) ledger.leftOver.add(it.key) }
                raiseNow = true
            }
        }
    }

    /** The job changed under us, by its user's abort; the view will tell. What was never written was never sent. */
    private fun conflicted(
        job: Job,
        guardedMark: Long?,
        nowMs: Long,
    ) {
        // The view may have told of the change before the answer came; then nothing else will.
        if (job.mark != guardedMark) return
        job.activeAttempts.filter { it.state == AttemptState.PLANNING }.forEach { cluster.stop(it, nowMs, "the job changed") }
        job.finishing = true
    }

    private fun written(
        write: Write,
        revision: Long,
        nowMs: Long,
    ) {
        when (write) {
            is Write.RecordRound -> ledger.written(write, revision, nowMs)
            is Write.SweepRound -> ledger.leftOver.remove(write.key)
            is Write.Finish -> finished(write.job, nowMs)
            is Write.CancelSuccessor -> {
                log("${write.job.id} is withdrawn with a job that it depends on")
                ended(write.job.id, nowMs)
            }
            is Write.Sweep -> {
                log("${write.job.spec.id} is swept")
                ended(write.job.spec.id, nowMs)
            }
            is Write.Intend -> {
                fleet.wishes.remove(write.intent)
                fleet.intents[write.intent.plea] = write.intent
            }
            is Write.Remember -> {}
            is Write.Disown -> disowning.written(write.record)
            is Write.Own -> disowning.deleted(write.key)
            is Write.DropIntent -> fleet.spentIntents.remove(write.plea)
            Write.RaiseTerm -> raised(revision, nowMs)
        }
    }

    private fun finished(
        job: Job,
        nowMs: Long,
    ) {
        job.finishing = true
        val places = seconds(job.lastPlanAtMs - job.seenAtMs)
        val images = seconds(maxOf(0, job.lastRunAtMs - job.lastPlanAtMs))
        val run = seconds(nowMs - maxOf(job.lastRunAtMs, job.lastPlanAtMs))
        log(
            "${job.id} (${job.spec.jobClass}, ${job.spec.tasks} tasks) is done: $places s to its last place, $images s to its last start, $run s from there",
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
        const val MOST_LEFT_OVER = 300

        /** Writes of a transaction that are kept from sweeping, as something urgent may come at any moment. */
        const val SWEEP_RESERVE = 6
    }
}
