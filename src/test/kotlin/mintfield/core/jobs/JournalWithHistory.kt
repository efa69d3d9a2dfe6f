package mintfield.core.jobs

import mintfield.Fixtures
import mintfield.core.Cluster
import mintfield.core.Write
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.Machine
import mintfield.core.model.JobSpec
import mintfield.core.model.Team

/**
 * A leader's [PlanJournal] with the round records in the store and, for comparison, all records ever written. Each transaction raises
 * the revision by one.
 */
class JournalWithHistory(
    private val specs: List<JobSpec>,
    /** The most CPUs that the team of the jobs may use at once; 0 for no limit. */
    maxCpus: Int = 0,
) {
    private val settings = Fixtures.settings.copy(teams = listOf(Team("floor", 0.0, maxCpus.toDouble(), 0.0, 0.0)))

    /** A round record with its key and the revision at which it was written. */
    class StoredRound(
        val key: String,
        val record: RoundRecord,
        val revision: Long,
    )

    private var revision = 1L
    private var nowMs = 1_000L

    /** The records in the store, the oldest first. */
    val stored = ArrayList<StoredRound>()

    /** All records ever written, the oldest first. */
    val history = ArrayList<StoredRound>()

    /** The state of the present leader. */
    lateinit var cluster: Cluster
        private set

    /** The journal of the present leader. */
    lateinit var journal: PlanJournal
        private set

    init {
        failOver()
    }

    /** The job with id [id], as the present leader knows it. */
    fun job(id: String): Job = cluster.jobs.getValue(id)

    /** Plans task [index] of [job] on [machine]. */
    fun plan(
        job: Job,
        index: Int,
        machine: String,
    ) {
        val number = cluster.attemptNumber()
        cluster.attemptUsed(number)
        cluster.occupy(job, index, number, cluster.machines.getValue(machine), 1)
    }

    /** Releases the attempt of task [index] of [job], as after a failure. */
    fun release(
        job: Job,
        index: Int,
    ) = cluster.release(job.attempt(index)!!, nowMs, "failed")

    /** Marks task [index] of [job] as done. */
    fun complete(
        job: Job,
        index: Int,
    ) {
        cluster.markDone(job, index, nowMs)
        job.attempt(index)?.let { cluster.release(it, nowMs, Cluster.DONE) }
    }

    /** Writes the unwritten changes, at most [maxWrites] records of them. */
    fun commit(maxWrites: Int = 4) {
        val written = transaction(maxWrites)
        store(written)
        written.forEach { journal.onRoundWritten(it, revision, nowMs) }
    }

    private fun store(written: List<Write.RecordRound>) {
        revision++
        val rounds = written.map { StoredRound(it.key, it.record, revision) }
        stored.addAll(rounds)
        history.addAll(rounds)
    }

    /** A transaction whose response is lost; [applied]: whether the store has applied it. */
    fun commitWithoutResponse(applied: Boolean) {
        val writes = transaction(maxWrites = 4)
        if (applied) store(writes)
        journal.outcomeUnknown(writes, nowMs)
    }

    /** A transaction that the store refuses. */
    fun refusedCommit() = journal.markUnwritten(transaction(maxWrites = 4), nowMs)

    private fun transaction(maxWrites: Int): List<Write.RecordRound> {
        nowMs += 10
        val writes = ArrayList<Write>()
        journal.add(writes, maxWrites, maxDelayMs = 0, nowMs)
        return writes.filterIsInstance<Write.RecordRound>()
    }

    /** Deletes at most [count] obsolete records. */
    fun deleteObsolete(count: Int = Int.MAX_VALUE) {
        for (key in journal.obsoleteRounds.take(count)) {
            stored.removeIf { it.key == key }
            journal.onRoundDeleted(key)
        }
    }

    /** Lets the time pass after which records that are still needed are written again. */
    fun requestRewrites() {
        nowMs += PlacementConstants.ROUND_REWRITE_MS
        journal.refresh(nowMs)
    }

    /** Replaces the leader by a successor that replays the records in the store, and cannot decode a part of the oldest [unreadable] ones. */
    fun failOver(unreadable: Int = 0) {
        val (successor, successorJournal) = replay(stored, unreadable)
        cluster = successor
        journal = successorJournal
    }

    /** What a leader knows of each task after a replay of [rounds]: its attempt, `done`, or nothing. */
    fun stateAfter(rounds: List<StoredRound>): Map<String, String> {
        val (replayed, _) = replay(rounds)
        val states = sortedMapOf<String, String>()
        for (job in replayed.jobs.values) {
            for (index in 0 until job.spec.tasks) {
                val attempt = job.attempt(index)
                if (attempt != null) states["${job.id}/$index"] = "${attempt.machine.id}@${attempt.number}"
                if (job.progress.isDone(index)) states["${job.id}/$index"] = "done"
            }
        }
        return states
    }

    private fun replay(
        rounds: List<StoredRound>,
        unreadable: Int = 0,
    ): Pair<Cluster, PlanJournal> {
        val successor = Cluster(settings, firstTerm = ++revision) {}
        successor.types[Fixtures.box.name] = Fixtures.box
        for (number in 1..MACHINES) successor.machines["m-$number"] = Machine("m-$number", Fixtures.box, if (number % 2 == 0) "north" else "south", false)
        for (spec in specs) successor.jobs[spec.id] = Job(Fixtures.accepted(spec, 1))
        val successorJournal = PlanJournal(successor, FleetManager(successor) {})
        for ((position, round) in rounds.withIndex()) successorJournal.replay(round.key, round.record, round.revision, nowMs, keep = position < unreadable)
        successor.jobs.values.forEach { it.unwritten.clear() }
        return successor to successorJournal
    }

    companion object {
        /** Number of machines, `m-1` and so on, with the even ones in the zone north. */
        const val MACHINES = 12
    }
}
