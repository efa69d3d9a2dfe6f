package mintfield.core.jobs

import mintfield.core.Cluster
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine

/**
 * Round records: takes them up in a replay, says what the next ones must tell, and which are needed no more. A record is
 * needed for as long as it alone tells something of a shard of a job that lives.
 */
class PlanJournal(
    private val cluster: Cluster,
    private val fleet: FleetManager,
) {
    /** Keys of records that tell nothing any more; they go when there is room, and a successor finds what is left of them. */
    val obsoleteRounds = LinkedHashSet<String>()

    /** Round records in the store, the oldest first. */
    private val rounds = LinkedHashMap<String, JournaledRound>()
    private var number = 0L

    /**
     * Takes a round's record as outputs of plan and done-set steps that need not run again. Rounds come in the order of
     * their revisions: the later one tells the truth, as it was written with proof. [keep]: something in it cannot be read.
     */
    fun replay(
        key: String,
        record: RoundRecord,
        revision: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) {
        val kept = JournaledRound(key, revision, nowMs)
        for (part in record.parts) {
            val job = cluster.jobs[part.job] ?: continue
            part.released.forEach { i -> job.attempt(i)?.let { cluster.release(it, nowMs, Cluster.DESCRIBED_ANEW) } }
            part.plans.forEach { replayPlan(job, it, nowMs) }
            part.done.forEach { replayDone(job, it, nowMs) }
            cover(kept, job, part.chunk)
        }
        if (keep) return
        if (kept.needed.isEmpty()) obsoleteRounds.add(key) else rounds[key] = kept
    }

    private fun replayDone(
        job: Job,
        index: Int,
        nowMs: Long,
    ) {
        if (index >= job.spec.tasks) return
        job.attempt(index)?.let { cluster.release(it, nowMs, Cluster.DESCRIBED_ANEW) }
        job.setDone(index)
        job.doneWritten.set(index)
    }

    private fun replayPlan(
        job: Job,
        g: PlannedGroup,
        nowMs: Long,
    ) {
        val m = cluster.machines[g.machine] ?: unknownMachine(g.machine, job, nowMs) ?: return
        for (i in g.indices) {
            if (i >= job.spec.tasks || job.done.get(i)) continue
            job.attempt(i)?.let { cluster.release(it, nowMs, Cluster.DESCRIBED_ANEW) }
            if (g.incarnation < m.incarnation) continue
            val a = cluster.occupy(job, i, g.attempt, m, g.incarnation)
            a.startSent = true
            a.moveTo(AttemptState.PLANNED, nowMs)
        }
    }

    private fun cover(
        kept: JournaledRound,
        job: Job,
        chunk: Int,
    ) {
        kept.needed.add(job.id to chunk)
        job.coveringRounds.getOrPut(chunk) { HashSet() }.add(kept)
    }

    /** What rounds before [revision] told of the shard is not needed any more; a round of which nothing is needed goes. */
    fun superseded(
        job: Job,
        chunk: Int,
        revision: Long,
    ) {
        val kept = job.coveringRounds[chunk] ?: return
        kept.removeAll { round ->
            if (round.revision >= revision) return@removeAll false
            round.needed.remove(job.id to chunk)
            if (round.needed.isEmpty() && rounds.remove(round.key) != null) obsoleteRounds.add(round.key)
            true
        }
        if (kept.isEmpty()) job.coveringRounds.remove(chunk)
    }

    /** A machine that a plan names but nobody has described: its type is learned later, from its heartbeats or the list. */
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

    /**
     * What was planned, with all that was reported since the last round; without plans, once something has waited for
     * [patienceMs]. Returns how many writes that takes.
     */
    fun add(
        writes: MutableList<Write>,
        room: Int,
        patienceMs: Long,
        nowMs: Long,
    ): Int {
        if (room <= 0) return 0
        val open = cluster.jobs.values.filter { !it.changed.isEmpty && !it.cancelled && !it.finishing && !it.unreadable && !it.allDone }
        val due = open.any { it.planning || (it.unwrittenSinceMs > 0 && nowMs - it.unwrittenSinceMs >= patienceMs) }
        if (!due) return 0
        val order = open.sortedWith(compareBy<Job>({ if (it.planning) 0 else 1 }, { it.priority }).thenBy { it.unwrittenSinceMs })
        val maxBytes = (cluster.limits.valueBytes * PlacementConstants.MAX_VALUE_FILL).toInt()
        val most = minOf(room, MAX_ROUND_VALUES)
        val records = RoundPacker.take(order, maxBytes, most, mostJobs())
        for (record in records) {
            val jobs = record.parts.mapTo(LinkedHashSet()) { it.job }.map { cluster.jobs.getValue(it) }
            writes.add(Write.RecordRound("${cluster.firstTerm}-${++number}", record, jobs))
        }
        for (job in order) if (job.changed.isEmpty) job.unwrittenSinceMs = 0
        return records.size
    }

    /**
     * What an old round still tells is told anew by the next one, so that it may go and a successor has few to read. It
     * costs no write of its own; most arrays have ended before.
     */
    fun refresh(nowMs: Long) {
        var left = REFRESH_AT_ONCE
        for (round in rounds.values) {
            if (left <= 0 || nowMs - round.writtenAtMs < PlacementConstants.ROUND_REWRITE_MS) return
            if (round.refreshed) continue
            round.refreshed = true
            left--
            for ((id, chunk) in round.needed) {
                val job = cluster.jobs[id] ?: continue
                job.markAllChanged(chunk)
                if (job.unwrittenSinceMs == 0L) job.unwrittenSinceMs = nowMs
            }
        }
    }

    /** Jobs that one transaction may touch: each needs a guard, as do the leader key and each other write. */
    private fun mostJobs(): Int = cluster.limits.txnOps * (PlacementConstants.PRECONDITIONS_PER_WRITE - 1) - 1

    fun putBack(
        writes: List<Write>,
        nowMs: Long,
    ) {
        for (w in writes) {
            if (w !is Write.RecordRound) continue
            for (part in w.record.parts) {
                val job = cluster.jobs[part.job] ?: continue
                RoundPacker.putBack(job, part)
                if (job.unwrittenSinceMs == 0L) job.unwrittenSinceMs = nowMs
            }
        }
    }

    fun written(
        write: Write.RecordRound,
        revision: Long,
        nowMs: Long,
    ) {
        val kept = JournaledRound(write.key, revision, nowMs)
        for (part in write.record.parts) {
            val job = cluster.jobs[part.job] ?: continue
            part.done.forEach { job.doneWritten.set(it) }
            for (g in part.plans) {
                for (i in g.indices) {
                    val a = job.attempt(i)?.takeIf { it.number == g.attempt && it.machine.id == g.machine } ?: continue
                    if (a.state == AttemptState.PLANNING) a.moveTo(AttemptState.PLANNED, nowMs)
                }
            }
            cover(kept, job, part.chunk)
            if (part.full) superseded(job, part.chunk, revision)
        }
        if (kept.needed.isEmpty()) obsoleteRounds.add(write.key) else rounds[write.key] = kept
    }

    private companion object {
        /** Old rounds whose rest is told anew in one go. */
        const val REFRESH_AT_ONCE = 2

        /** Round records in one transaction. */
        const val MAX_ROUND_VALUES = 4
    }
}
