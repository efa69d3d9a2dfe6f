package mintfield.sim

import mintfield.Fixtures
import mintfield.core.Commit
import mintfield.core.CommitResult
import mintfield.core.LeaderRecord
import mintfield.core.ScaleOutIntent
import mintfield.core.Write
import mintfield.core.fleet.ZoneFence
import mintfield.core.jobs.KnownJob
import mintfield.core.jobs.RoundRecord
import mintfield.core.model.AcceptedJob
import mintfield.core.model.FinalState
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec

/** A simulated key-value store. It applies transactions atomically and may refuse a single leader or all of them. */
class SimulatedStore(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val listener: Listener,
) {
    /** Receives changes of job records while they are applied. */
    interface Listener {
        /** The record or the final state of job [id] has changed. */
        fun jobChanged(id: String)

        /** The record of job [id] is about to be deleted by garbage collection. */
        fun jobRecordDeleting(id: String)
    }

    /** A round record and the revision of its key. */
    class StoredRound(
        val revision: Long,
        val record: RoundRecord,
    )

    private var revision = 10L

    /** Revision of the leader key. */
    var term = 0L
        private set

    /** Records of unfinished jobs, and of cancelled jobs whose record is not deleted yet. */
    val jobs = LinkedHashMap<String, AcceptedJob>()
    val rounds = HashMap<String, StoredRound>()
    val intents = LinkedHashMap<String, ScaleOutIntent>()
    val zoneFences = LinkedHashMap<String, ZoneFence>()
    val finalStates = HashMap<String, JobPhase>()

    /** When each cancelled job was cancelled, in milliseconds of simulated time. */
    val cancelledAtMs = HashMap<String, Long>()

    /** Number of puts and deletes requested so far. */
    var writes = 0
        private set

    /** False during an outage, in which no request is served. */
    var available = true

    /** The only leader whose requests are refused; null for none. */
    var refusedLeader: SimulatedLeader? = null

    /** Whether the store serves requests of [leader]. */
    fun serves(leader: SimulatedLeader): Boolean = available && leader !== refusedLeader && leader !in leaders.partitioned

    /** Whether a candidate can write the leader key. */
    fun allowsElection(): Boolean = available && refusedLeader == null

    /** Rewrites the leader key for a new leader and returns its term. */
    fun newTerm(): Long {
        term = ++revision
        return term
    }

    /** Records a user's submission. */
    fun submit(spec: JobSpec) {
        val recorded = if (context.defects.hideConstraints) spec.copy(zone = null, oneZone = false, spread = false, spot = true) else spec
        jobs[spec.id] = Fixtures.accepted(recorded, ++revision, context.nowMs)
        writes++
    }

    /** Records the cancellation of [job] by its user. */
    fun cancel(job: AcceptedJob) {
        val id = job.spec.id
        if (!context.defects.hideCancellations) jobs[id] = job.copy(revision = ++revision, cancelled = true)
        finalStates[id] = JobPhase.CANCELLED
        cancelledAtMs[id] = context.nowMs
        writes += 2
    }

    /** Counts the puts and deletes of [commit], even if the request is lost. */
    fun countWrites(commit: Commit) {
        writes += commit.writes.sumOf { if (it is Write.FinishJob) 2L else 1L }.toInt()
    }

    /** The final state or the record of job [id] as a controller reads it; null if there is neither. */
    fun find(id: String): KnownJob? {
        val phase = if (context.defects.ignoreDependencies) JobPhase.DONE else finalStates[id]
        return phase?.let { KnownJob.Ended(FinalState(it, 0, 0)) } ?: jobs[id]?.let { KnownJob.Live(it) }
    }

    /** The jobs with a record that depend on [id], directly or transitively. */
    fun dependents(id: String): Set<String> {
        val found = LinkedHashSet<String>()
        val unexplored = ArrayDeque(listOf(id))
        while (unexplored.isNotEmpty()) {
            val next = unexplored.removeFirst()
            jobs.values
                .filter { next in it.spec.predecessors && found.add(it.spec.id) }
                .forEach { unexplored.addLast(it.spec.id) }
        }
        return found
    }

    /** Whether [record] exists. */
    operator fun contains(record: LeaderRecord): Boolean =
        when (record) {
            is LeaderRecord.Round -> record.key in rounds
            is LeaderRecord.Intent -> record.idempotencyKey in intents
            is LeaderRecord.Fence -> record.key in zoneFences
        }

    /** Applies the transaction [commit] of [leader] if the leader key and the jobs have the expected revisions. */
    fun apply(
        leader: SimulatedLeader,
        commit: Commit,
        guardRevisions: Map<String, Long>,
    ): CommitResult {
        if (!serves(leader) || commit.term != term) return CommitResult.Refused
        val changed = guardRevisions.filter { (id, revision) -> jobs[id]?.revision != revision }.keys
        if (changed.isNotEmpty() && !context.defects.ignorePreconditions) return CommitResult.Conflict(changed)
        if (commit.writes.any { it is Write.RecordRound && it.key in rounds }) return CommitResult.Conflict(emptySet())
        val commitRevision = ++revision
        for (write in commit.writes) apply(write, commitRevision)
        return CommitResult.Done(commitRevision)
    }

    private fun apply(
        write: Write,
        commitRevision: Long,
    ) {
        when (write) {
            is Write.RecordRound -> rounds[write.key] = StoredRound(commitRevision, write.record)
            is Write.DeleteRound -> rounds.remove(write.key)
            is Write.FinishJob -> {
                finalStates[write.job.spec.id] = JobPhase.DONE
                removeJob(write.job.spec.id)
            }
            is Write.CancelSuccessor -> {
                finalStates[write.job.id] = JobPhase.CANCELLED
                cancelledAtMs[write.job.id] = context.nowMs
                removeJob(write.job.id)
            }
            is Write.DeleteJobRecord -> {
                listener.jobRecordDeleting(write.job.id)
                removeJob(write.job.spec.id)
            }
            is Write.WriteIntent -> intents[write.intent.idempotencyKey] = write.intent
            is Write.DeleteIntent -> intents.remove(write.idempotencyKey)
            is Write.SaveLearnedState -> {}
            is Write.FenceZone -> zoneFences[write.record.key] = write.record
            is Write.LiftZoneFence -> zoneFences.remove(write.key)
            Write.RaiseTerm -> term = commitRevision
        }
    }

    private fun removeJob(id: String) {
        jobs.remove(id)
        listener.jobChanged(id)
    }
}
