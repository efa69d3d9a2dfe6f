package mintfield.core.jobs

import mintfield.core.fleet.Machine
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import java.util.BitSet

/** Where a planned task stands. */
enum class AttemptState {
    /** Chosen; the write of the plan is under way. Nothing may be sent. */
    PLANNING,

    /** The plan is written; a start may be sent, and repeated. */
    PLANNED,

    /** A start was sent; nothing has been seen of it. */
    STARTING,

    /** Reported as waiting for its image. */
    PULLING,

    /** Reported as running. */
    RUNNING,

    /** To be gone: halted wherever it shows up, released once it is proven to be absent. */
    STOPPING,

    /** Released by proof, or never sent. */
    RELEASED,
}

/** One try of a task on one machine; it occupies the machine from the plan until its release. */
class Attempt(
    val job: Job,
    val index: Int,
    val number: Long,
    val machine: Machine,
    /** The worker's season in which the attempt was planned. It ends with that season. */
    val season: Long,
) {
    var state = AttemptState.PLANNING
        private set

    /** Steady time, milliseconds. */
    var changedAtMs = 0L
        private set

    /** Whether a start of this attempt may ever have left any controller. */
    var everSent = false

    /** The only place where an attempt changes its state. */
    fun moveTo(
        next: AttemptState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(next in allowed.getValue(state)) { "${job.spec.id}/$index: $state to $next" }
        state = next
        changedAtMs = nowMs
    }

    val live: Boolean get() = state != AttemptState.RELEASED

    companion object {
        private val seen = setOf(AttemptState.PULLING, AttemptState.RUNNING, AttemptState.STOPPING, AttemptState.RELEASED)
        private val allowed =
            mapOf(
                AttemptState.PLANNING to setOf(AttemptState.PLANNED, AttemptState.RELEASED, AttemptState.STOPPING),
                AttemptState.PLANNED to seen + AttemptState.STARTING,
                AttemptState.STARTING to seen,
                AttemptState.PULLING to seen,
                AttemptState.RUNNING to seen,
                AttemptState.STOPPING to setOf(AttemptState.RELEASED),
                AttemptState.RELEASED to emptySet(),
            )
    }
}

/** An unfinished job in the leader's hands. */
class Job(
    accepted: AcceptedJob,
) {
    val spec: JobSpec = accepted.spec
    var mark: Long = accepted.mark
    val acceptedAtMs: Long = accepted.acceptedAtMs
    val fits: Set<String> = accepted.fits.toSet()
    var withdrawn = accepted.withdrawn

    val done = BitSet(spec.tasks)

    /** The part of [done] that the state service has. */
    val doneWritten = BitSet(spec.tasks)
    private val attempts = HashMap<Int, Attempt>()

    /** Lowest number that may still wait. */
    private var firstWaiting = 0

    /** Shards with new plans: nothing of them may start before they are written. */
    val dirtyPlans = HashSet<Int>()

    /** Shards whose record lacks done tasks or still has released ones, and since when (steady milliseconds). */
    val stale = HashMap<Int, Long>()

    /** Shards that have a record in the store. */
    val writtenShards = HashSet<Int>()

    /** Completed tasks whose run time was seen, and the sum of those times in seconds. */
    var measured = 0
    var measuredS = 0.0

    var failures = 0
    val failedOn = HashSet<String>()
    var notBeforeMs = 0L
    var finishing = false

    val shardCount: Int get() = (spec.tasks + Shards.TASKS - 1) / Shards.TASKS

    fun attempt(index: Int): Attempt? = attempts[index]

    val activeAttempts: Collection<Attempt> get() = attempts.values

    fun put(attempt: Attempt) {
        check(attempts.put(attempt.index, attempt) == null) { "${spec.id}/${attempt.index} is planned twice" }
    }

    fun remove(attempt: Attempt) {
        if (attempts[attempt.index] === attempt) {
            attempts.remove(attempt.index)
            if (attempt.index < firstWaiting) firstWaiting = attempt.index
        }
    }

    val waitingCount: Int get() = spec.tasks - done.cardinality() - attempts.keys.count { !done.get(it) }

    val allDone: Boolean get() = done.cardinality() == spec.tasks

    /** Up to [most] tasks that are neither done nor planned, in order. */
    fun waiting(most: Int): List<Int> {
        val found = ArrayList<Int>(minOf(most, 64))
        var i = firstWaiting
        var first = -1
        while (i < spec.tasks && found.size < most) {
            if (!done.get(i) && !attempts.containsKey(i)) {
                if (first < 0) first = i
                found.add(i)
            }
            i++
        }
        firstWaiting = if (first >= 0) first else spec.tasks
        return found
    }
}
