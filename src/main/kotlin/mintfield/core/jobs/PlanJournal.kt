package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine

/**
 * The journal of plans and results in the store, a sequence of round records. Replays it after a failover, decides what the next
 * record must cover, and finds records that are not needed any more.
 *
 * A record is needed for as long as it covers a chunk of an unfinished job that no later record covers as a whole. What an old
 * record still covers is written again with a later one, until nothing of it is needed.
 *
 * Not thread-safe, like the [Cluster] that it works on.
 */
class PlanJournal(
    private val cluster: Cluster,
    private val fleet: FleetManager,
) {
    private val obsolete = LinkedHashSet<String>()

    /** Round records in the store that are needed, the oldest first. */
    private val rounds = LinkedHashMap<String, JournaledRound>()
    private var number = 0L

    /** Keys of records to be deleted when writes are to spare. A successor finds those that are left. */
    val obsoleteRounds: Set<String> get() = obsolete

    // ---- replay ----

    /**
     * Replays a round record that was read at [revision]: takes its plans and results as facts, in place of what is known of the same
     * tasks. Records must come in the order of their revisions, as the later one was written with proof. [keep]: something in the record
     * cannot be read, so that it is never deleted.
     */
    fun replay(
        key: String,
        record: RoundRecord,
        revision: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) {
        val round = JournaledRound(key, revision, nowMs)
        for (part in record.parts) {
            val job = cluster.jobs[part.job] ?: continue
            part.released.forEach { index -> replaceAttempt(job, index, nowMs) }
            part.plans.forEach { replayPlan(job, it, nowMs) }
            part.done.forEach { replayDone(job, it, nowMs) }
            cover(round, job, part.chunk)
        }
        if (!keep) track(round)
    }

    private fun replaceAttempt(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        job.attempt(index)?.let { cluster.release(it, nowMs, Cluster.SUPERSEDED) }
    }

    private fun replayDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (index >= job.spec.tasks) return
        replaceAttempt(job, index, nowMs)
        job.progress.setDone(index)
        job.progress.recordDone(index)
    }

    private fun replayPlan(
        job: Job,
        group: PlannedGroup,
        nowMs: Long,
    ) {
        val machine = cluster.machines[group.machine] ?: unknownMachine(group.machine, job, nowMs) ?: return
        for (index in group.indices) {
            if (index >= job.spec.tasks || job.progress.isDone(index)) continue
            replaceAttempt(job, index, nowMs)
            if (group.incarnation < machine.incarnation) continue
            val attempt = cluster.occupy(job, index, group.attempt, machine, group.incarnation)
            attempt.startSent = true
            attempt.moveTo(AttemptState.PLANNED, nowMs)
        }
    }

    /** A machine known only from a plan: its type is a guess until its heartbeats or the cloud's list give it. */
    private fun unknownMachine(
        id: String,
        job: Job,
        nowMs: Long,
    ): Machine? {
        val type = job.compatibleTypes.firstNotNullOfOrNull { cluster.types[it] } ?: cluster.types.values.firstOrNull() ?: return null
        val zone = job.spec.zone ?: type.zones.firstOrNull() ?: return null
        if (!cluster.ownership.owns(id)) return fleet.registry.addOwnedElsewhere(id, type, zone, nowMs)
        return fleet.registry.machine(id, type.name, zone, false, nowMs)?.also { it.origin.markProvisional() }
    }

    // ---- writes ----

    /**
     * Adds to [writes] records of what was planned, with all that changed since the last round; without plans, once something has
     * waited for [patienceMs]. Returns how many writes were added, at most [room].
     */
    fun add(
        writes: MutableList<Write>,
        room: Int,
        patienceMs: Long,
        nowMs: Long,
    ): Int {
        if (room <= 0) return 0
        val open = cluster.jobs.values.filter { isOpen(it) }
        if (open.none { isDue(it, patienceMs, nowMs) }) return 0
        val order = open.sortedWith(compareBy<Job>({ if (it.planning) 0 else 1 }, { it.priority }).thenBy { it.unwritten.sinceMs })
        val maxBytes = (cluster.limits.valueBytes * PlacementConstants.MAX_VALUE_FILL).toInt()
        val records = RoundPacker.take(order, maxBytes, most = minOf(room, MAX_ROUND_VALUES), maxJobs())
        for (record in records) {
            val jobs = record.parts.mapTo(LinkedHashSet()) { it.job }.map { cluster.jobs.getValue(it) }
            number++
            writes.add(Write.RecordRound("${cluster.firstTerm}-$number", record, jobs))
        }
        for (job in order) job.unwritten.endWaitIfEmpty()
        return records.size
    }

    private fun isOpen(job: Job): Boolean = !job.unwritten.isEmpty && !job.cancelled && !job.finishing && !job.unreadable && !job.allDone

    private fun isDue(
        job: Job,
        patienceMs: Long,
        nowMs: Long,
    ): Boolean {
        val sinceMs = job.unwritten.sinceMs
        return job.planning || (sinceMs > 0 && nowMs - sinceMs >= patienceMs)
    }

    /** Jobs that one transaction may touch: each needs a precondition, as do the leader key and each other write. */
    private fun maxJobs(): Int = cluster.limits.txnOps * (PlacementConstants.PRECONDITIONS_PER_WRITE - 1) - 1

    /**
     * Marks what old records are still needed for as unwritten, so that the next rounds cover it and a successor has few records to
     * read. It causes no write of its own.
     */
    fun refresh(nowMs: Long) {
        var left = MAX_REWRITES_AT_ONCE
        for (round in rounds.values) {
            if (left <= 0 || nowMs - round.writtenAtMs < PlacementConstants.ROUND_REWRITE_MS) return
            if (round.rewriteRequested) continue
            round.requestRewrite()
            left--
            for (chunk in round.neededFor) {
                val job = cluster.jobs[chunk.job] ?: continue
                job.progress.rewriteChunk(chunk.number)
                job.unwritten.waitSince(nowMs)
            }
        }
    }

    /** Some of [writes] were not written: what their records cover is unwritten again. */
    fun putBack(
        writes: List<Write>,
        nowMs: Long,
    ) {
        for (write in writes) {
            if (write !is Write.RecordRound) continue
            for (part in write.record.parts) {
                val job = cluster.jobs[part.job] ?: continue
                RoundPacker.putBack(job, part)
                job.unwritten.waitSince(nowMs)
            }
        }
    }

    /** The record of [write] was written at [revision]: its plans may be started, and its results are safe. */
    fun written(
        write: Write.RecordRound,
        revision: Long,
        nowMs: Long,
    ) {
        val round = JournaledRound(write.key, revision, nowMs)
        for (part in write.record.parts) {
            val job = cluster.jobs[part.job] ?: continue
            part.done.forEach { job.progress.recordDone(it) }
            part.plans.forEach { planWritten(job, it, nowMs) }
            cover(round, job, part.chunk)
            if (part.full) superseded(job, part.chunk, revision)
        }
        track(round)
    }

    private fun planWritten(
        job: Job,
        group: PlannedGroup,
        nowMs: Long,
    ) {
        for (index in group.indices) {
            val attempt = job.attempt(index) ?: continue
            val isOfGroup = attempt.number == group.attempt && attempt.machine.id == group.machine
            if (isOfGroup && attempt.state == AttemptState.PLANNING) attempt.moveTo(AttemptState.PLANNED, nowMs)
        }
    }

    // ---- records that are needed, and those that are not ----

    private fun cover(
        round: JournaledRound,
        job: Job,
        chunk: Int,
    ) {
        round.needFor(job, chunk)
        job.coverage.add(chunk, round)
    }

    private fun track(round: JournaledRound) {
        if (round.isObsolete) obsolete.add(round.key) else rounds[round.key] = round
    }

    /** [job] is gone from the store: no record is needed for it. */
    fun jobRemoved(job: Job) = job.coverage.chunks.forEach { superseded(job, it, Long.MAX_VALUE) }

    /** What records before [revision] cover of the chunk is not needed any more. */
    private fun superseded(
        job: Job,
        chunk: Int,
        revision: Long,
    ) = job.coverage.removeBefore(chunk, revision) { round ->
        round.notNeededFor(job, chunk)
        if (round.isObsolete && rounds.remove(round.key) != null) obsolete.add(round.key)
    }

    /** The record [key], of which it is not known whether it was written, is to be deleted. */
    fun deleteLater(key: String) {
        obsolete.add(key)
    }

    /** The record [key] was deleted. */
    fun deleted(key: String) {
        obsolete.remove(key)
    }

    private companion object {
        /** Old records whose chunks are marked as unwritten at once. */
        const val MAX_REWRITES_AT_ONCE = 2

        /** Round records in one transaction. */
        const val MAX_ROUND_VALUES = 4
    }
}
