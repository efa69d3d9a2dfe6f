package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.FleetManager

/**
 * Journal of plans and results in the store, a sequence of round records. Replays the records after a failover, selects the tasks that
 * the next record must cover, and finds obsolete records.
 *
 * The records that are left in the store lead a replay to the same state as all records ever written. So a record is needed as long as it
 * covers a chunk of an unfinished job that no later record covers completely, that is, with every task that any record has stated. The
 * chunks for which an old record is needed are written again with later records, until it is obsolete.
 *
 * Not thread-safe, like [Cluster].
 */
class PlanJournal(
    private val cluster: Cluster,
    fleet: FleetManager,
) {
    private val partReplay = RoundPartReplay(cluster, fleet)
    private val obsolete = LinkedHashSet<String>()

    /** The needed round records in the store by key, the oldest first. */
    private val rounds = LinkedHashMap<String, JournaledRound>()
    private var number = 0L

    /** Keys of obsolete records, to be deleted when spare writes are available. A later leader finds the remaining ones. */
    val obsoleteRounds: Set<String> get() = obsolete

    /**
     * Replays a round record that was read at [revision]: its plans and results replace the known state of the same tasks. Records must be
     * replayed in the order of their keys ([RoundKey]), since a later record was written with proof that the plans it replaces are released.
     * [keep]: whether a part of the record, or the record of one of its jobs, cannot be decoded. The record is then never deleted.
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
            partReplay.apply(part, job, record.keepsReleases, nowMs)
            cover(round, job, part)
        }
        if (!keep) track(round)
    }

    // ---- writes ----

    /**
     * Adds round records of all unwritten changes to [writes] if there are new plans, or if a change has been unwritten for [maxDelayMs].
     * Returns the number of writes added, at most [maxWrites].
     */
    fun add(
        writes: MutableList<Write>,
        maxWrites: Int,
        maxDelayMs: Long,
        nowMs: Long,
    ): Int {
        if (maxWrites <= 0) return 0
        val changed = cluster.jobs.values.filter { hasChangesToWrite(it) }
        if (changed.none { isDue(it, maxDelayMs, nowMs) }) return 0
        val order = changed.sortedWith(compareBy<Job>({ if (it.planning) 0 else 1 }, { it.priority }).thenBy { it.unwritten.sinceMs })
        val maxBytes = (cluster.limits.valueBytes * PlacementConstants.MAX_VALUE_FILL).toInt()
        val limits = RoundPacker.Limits(maxBytes, maxRecords = minOf(maxWrites, MAX_ROUND_VALUES), maxJobs())
        val records = RoundPacker.pack(order, limits, teamsAtLimit(changed))
        for (record in records) {
            val jobs = record.parts.mapTo(LinkedHashSet()) { it.job }.map { cluster.jobs.getValue(it) }
            number++
            writes.add(Write.RecordRound(RoundKey(cluster.firstTerm, number).toString(), record, jobs))
        }
        for (job in order) job.unwritten.endWaitIfEmpty()
        return records.size
    }

    /** The teams that would exceed their limits if all their plans, but no releases of the [changed] jobs were written. */
    private fun teamsAtLimit(changed: List<Job>): Set<String> {
        val jobsByTeam = changed.filter { cluster.quotas.isLimited(it.spec.team) }.groupBy { it.spec.team }
        return jobsByTeam.filterNot { (team, jobs) -> hasQuotaForReleases(team, jobs) }.keys
    }

    private fun hasQuotaForReleases(
        team: String,
        jobs: List<Job>,
    ): Boolean {
        var cpus = 0.0
        var gpus = 0.0
        for (job in jobs) {
            val released = job.unwritten.filter(job.progress::isUnwrittenRelease).size
            cpus += released * job.spec.cpus
            gpus += released * job.spec.gpus
        }
        return cluster.quotas.allows(team, cpus, gpus)
    }

    private fun hasChangesToWrite(job: Job): Boolean = !job.unwritten.isEmpty && !job.cancelled && !job.finishing && !job.unreadable && !job.allDone

    private fun isDue(
        job: Job,
        maxDelayMs: Long,
        nowMs: Long,
    ): Boolean {
        val sinceMs = job.unwritten.sinceMs
        return job.planning || (sinceMs > 0 && nowMs - sinceMs >= maxDelayMs)
    }

    /** Maximum number of jobs in one transaction: each needs a precondition, as do the leader key and each other write. */
    private fun maxJobs(): Int = cluster.limits.txnOps * (PlacementConstants.PRECONDITIONS_PER_WRITE - 1) - 1

    /**
     * Marks the chunks for which old records are needed as unwritten, so that the next rounds cover them and a later leader has few
     * records to read. Causes no additional writes.
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

    /** Marks the tasks covered by the round records in [writes] as unwritten again: the writes failed. */
    fun markUnwritten(
        writes: List<Write>,
        nowMs: Long,
    ) {
        for (write in writes) {
            if (write !is Write.RecordRound) continue
            for (part in write.record.parts) {
                val job = cluster.jobs[part.job] ?: continue
                RoundPacker.markUnwritten(job, part)
                job.unwritten.waitSince(nowMs)
            }
        }
    }

    /**
     * Handles [writes] of which it is unknown whether they were applied: their tasks are written again, their plans count as stated in the
     * store, and the records are deleted eventually.
     */
    fun outcomeUnknown(
        writes: List<Write>,
        nowMs: Long,
    ) {
        markUnwritten(writes, nowMs)
        for (write in writes) {
            if (write !is Write.RecordRound) continue
            obsolete.add(write.key)
            for (part in write.record.parts) cluster.jobs[part.job]?.let { recordStatedPlans(it, part) }
        }
    }

    private fun recordStatedPlans(
        job: Job,
        part: RoundPart,
    ) = part.plans.forEach { group -> group.indices.forEach { job.progress.recordStated(it, planned = true) } }

    /** Records that [write] was committed at [revision]: its plans may be started, and its results are durable. */
    fun onRoundWritten(
        write: Write.RecordRound,
        revision: Long,
        nowMs: Long,
    ) {
        val round = JournaledRound(write.key, revision, nowMs)
        for (part in write.record.parts) {
            val job = cluster.jobs[part.job] ?: continue
            part.done.forEach { job.progress.recordDone(it) }
            part.plans.forEach { onPlanWritten(job, it, nowMs) }
            cover(round, job, part)
            if (part.full) removeCoverageBefore(job, part.chunk, revision)
        }
        track(round)
    }

    private fun onPlanWritten(
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

    // ---- needed and obsolete records ----

    private fun cover(
        round: JournaledRound,
        job: Job,
        part: RoundPart,
    ) {
        part.released.forEach { job.progress.recordStated(it, planned = false) }
        recordStatedPlans(job, part)
        part.done.forEach { job.progress.recordStated(it, planned = false) }
        round.markNeededFor(job, part.chunk)
        job.coverage.add(part.chunk, round)
    }

    private fun track(round: JournaledRound) {
        if (round.isObsolete) obsolete.add(round.key) else rounds[round.key] = round
    }

    /** [job] was removed from the store: no record is needed for it any longer. */
    fun jobRemoved(job: Job) = job.coverage.chunks.forEach { removeCoverageBefore(job, it, Long.MAX_VALUE) }

    /** Marks the records before [revision] as no longer needed for [chunk] of [job]. */
    private fun removeCoverageBefore(
        job: Job,
        chunk: Int,
        revision: Long,
    ) = job.coverage.removeBefore(chunk, revision) { round ->
        round.clearNeededFor(job, chunk)
        if (round.isObsolete && rounds.remove(round.key) != null) obsolete.add(round.key)
    }

    /** Records that the record [key] was deleted. */
    fun onRoundDeleted(key: String) {
        obsolete.remove(key)
    }

    private companion object {
        /** Maximum number of old records whose chunks one call of [refresh] marks as unwritten. */
        const val MAX_REWRITES_AT_ONCE = 2

        /** Maximum number of round records in one transaction. */
        const val MAX_ROUND_VALUES = 4
    }
}
