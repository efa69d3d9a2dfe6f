package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.Machine
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape
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

    /** To be gone: stopped wherever it shows up, released once it is proven to be absent. */
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
    /** The worker's incarnation in which the attempt was planned. It ends with that incarnation. */
    val incarnation: Long,
) {
    var state = AttemptState.PLANNING
        private set

    /** Steady time, milliseconds. */
    var changedAtMs = 0L
        private set

    /** Whether a start of this attempt may ever have left any controller. */
    var startSent = false

    /** The only place where an attempt changes its state. */
    fun moveTo(
        next: AttemptState,
        nowMs: Long,
    ) {
        if (next == state) return
        check(next in allowed.getValue(state)) { "${job.spec.id}/$index: $state to $next" }
        job.counted(state, next)
        machine.occupancy.stateChanged(state, next)
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
    val id: String get() = spec.id
    var revision: Long = accepted.revision
    val acceptedAtMs: Long = accepted.acceptedAtMs
    val compatibleTypes: Set<String> = accepted.compatibleTypes.toSet()

    /** Whether all its predecessors are done; before that it asks for nothing. To be changed by [becomeReady] only. */
    var ready = spec.predecessors.isEmpty()
        private set

    /** Time of day in milliseconds from which it could start: that of its acceptance, or of its last predecessor's end. */
    var readySinceMs = acceptedAtMs
        private set

    /** The highest of its own priority and those of the jobs that depend on it. */
    var priority: Priority = spec.priority

    /** Whether it must start now for the jobs that depend on it to meet their deadlines. */
    var deadlineCritical = false

    /**
     * The priority with which it displaces others: its own, unless it presses. Room comes free all the time, and it is the first to
     * get it; to stop what runs for a job that can wait a few seconds costs more than it gains.
     */
    val displacingPriority: Priority get() = if (deadlineCritical) priority else spec.priority

    /** When it must be done for the jobs that depend on it to meet their deadlines, time of day in milliseconds. */
    var inheritedDueMs: Double? = null

    /** Whether a user was told that it is cancelled, as its record or a peer says. */
    var cancelled = accepted.cancelled

    /**
     * Whether its record says so; only then has it a final state, and its record may go. A peer may tell sooner, and of a job
     * that is cancelled with one that it depends on before anything of that is written.
     */
    var cancellationRecorded = accepted.cancelled

    /** Done tasks; to be changed by [setDone] only. */
    val done = BitSet(spec.tasks)

    /** The part of [done] that the store has. */
    val doneWritten = BitSet(spec.tasks)
    private val attempts = HashMap<Int, Attempt>()

    /** Attempts by state, and those of tasks that are done: asked for at every step, so never counted anew. */
    private val byState = IntArray(AttemptState.entries.size)
    private var doneWithAttempt = 0
    private var doneCount = 0

    /** Tasks whose state has changed since it was last written: what the next round record must tell of them. */
    val changed = BitSet()

    /** Since when [changed] has held something that nobody hurries to write (steady milliseconds); 0 if nothing. */
    var unwrittenSinceMs = 0L

    /** Lowest number that may still wait. */
    private var firstWaiting = 0

    /** Round records of which parts still tell of this job, by shard. */
    val coveringRounds = HashMap<Int, MutableSet<JournaledRound>>()

    /** Completed tasks whose run time was seen, and the sum of those times in seconds. */
    var measured = 0
    var measuredS = 0.0

    /** Failures since the last success, and the machines that ever failed a task of it. */
    var failures = 0
    val failedOn = HashSet<String>()

    /** While it is [JobHealth.UNKNOWN]: machines that failed it, and how often. */
    val failuresByMachine = HashMap<Machine, Int>()
    var health = JobHealth.UNKNOWN
        private set

    /** Tries since it was suspect, and the longest that a task was seen to run before it failed (milliseconds). */
    var probes = 0
    var longestFailMs = 0L
    var notBeforeMs = 0L
    var finishing = false

    /** When this leader first knew of it, and when the last of its tasks were planned and began to run: where time went. */
    var firstSeenAtMs = 0L
    var lastPlanAtMs = 0L
    var lastRunAtMs = 0L

    /** It went before others to meet a strict aim; what its tasks hold counts towards the share for such jobs. */
    var boosted = false

    /** One of its records could not be read; it is kept as it is. */
    var unreadable = false

    val chunkCount: Int get() = (spec.tasks + TaskChunks.TASKS - 1) / TaskChunks.TASKS

    /** Its predecessors have been done since [sinceMs], a time of day in milliseconds; 0 if that is not known. */
    fun becomeReady(sinceMs: Long) {
        if (ready) return
        ready = true
        readySinceMs = maxOf(acceptedAtMs, sinceMs)
    }

    fun attempt(index: Int): Attempt? = attempts[index]

    val activeAttempts: Collection<Attempt> get() = attempts.values

    /** The zone that its next task must be in, if there is one: that of its specification, or of its other tasks if all must share one. */
    val boundZone: String?
        get() {
            if (spec.zone != null || !spec.oneZone) return spec.zone
            return attempts.values
                .firstOrNull()
                ?.machine
                ?.zone
        }

    fun put(attempt: Attempt) {
        check(attempts.put(attempt.index, attempt) == null) { "${spec.id}/${attempt.index} is planned twice" }
        byState[attempt.state.ordinal]++
        if (done.get(attempt.index)) doneWithAttempt++
        changed.set(attempt.index)
    }

    fun remove(attempt: Attempt) {
        if (attempts[attempt.index] === attempt) {
            attempts.remove(attempt.index)
            byState[attempt.state.ordinal]--
            if (done.get(attempt.index)) doneWithAttempt--
            if (attempt.index < firstWaiting) firstWaiting = attempt.index
            changed.set(attempt.index)
        }
    }

    /** An attempt of this job changes its state. */
    fun counted(
        from: AttemptState,
        to: AttemptState,
    ) {
        byState[from.ordinal]--
        byState[to.ordinal]++
    }

    fun count(state: AttemptState): Int = byState[state.ordinal]

    /** The only place where a task of this job becomes done; false if it was. */
    fun setDone(index: Int): Boolean {
        if (done.get(index)) return false
        done.set(index)
        doneCount++
        if (attempts.containsKey(index)) doneWithAttempt++
        changed.set(index)
        return true
    }

    /** Marks all that there is to tell of a shard as changed. */
    fun markAllChanged(chunk: Int) {
        for (i in chunk * TaskChunks.TASKS until minOf(spec.tasks, (chunk + 1) * TaskChunks.TASKS)) if (hasProgress(i)) changed.set(i)
    }

    /** How many tasks of a shard there is something to tell of: without a word a task counts as waiting. */
    fun progressCount(chunk: Int): Int = (chunk * TaskChunks.TASKS until minOf(spec.tasks, (chunk + 1) * TaskChunks.TASKS)).count { hasProgress(it) }

    private fun hasProgress(index: Int) = done.get(index) || attempts.containsKey(index)

    /** The only place where the belief changes. */
    fun changeHealth(next: JobHealth) {
        check(next != JobHealth.UNKNOWN && health != next) { "$id: $health to $next" }
        health = next
        probes = 0
    }

    /** How many tasks are worth giving it at once: few while it has only failed. A gang goes as a whole. */
    private val concurrencyCap: Int
        get() =
            when {
                spec.shape == Shape.GANG -> Int.MAX_VALUE
                health == JobHealth.SUSPECT -> PlacementConstants.PROBE_TASKS
                health == JobHealth.UNKNOWN && failures >= PlacementConstants.CAUTIOUS_AFTER_FAILURES -> PlacementConstants.CAUTIOUS_TASKS
                else -> Int.MAX_VALUE
            }

    /** Tasks that may be planned now. */
    val schedulableTasks: Int get() =
        if (!ready) {
            0
        } else {
            minOf(
                waitingCount,
                maxOf(
                    0,
                    if (concurrencyCap ==
                        Int.MAX_VALUE
                    ) {
                        Int.MAX_VALUE
                    } else {
                        concurrencyCap - attempts.size
                    },
                ),
            )
        }

    /** Tasks that room should be reckoned for: what is broken needs none but for its tries. */
    val demand: Int get() =
        if (!ready) {
            0
        } else if (health == JobHealth.SUSPECT) {
            minOf(spec.tasks - doneCount, concurrencyCap)
        } else {
            spec.tasks - doneCount
        }

    /** Whether something waits to be written before it may start. */
    val planning: Boolean get() = byState[AttemptState.PLANNING.ordinal] > 0

    val doneTasks: Int get() = doneCount

    val waitingCount: Int get() = spec.tasks - doneCount - attempts.size + doneWithAttempt

    val allDone: Boolean get() = doneCount == spec.tasks

    /** Whether any of its tasks was ever seen at work, or is planned now. */
    val begun: Boolean get() = doneCount > 0 || attempts.isNotEmpty()

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
