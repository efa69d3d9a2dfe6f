package mintfield.core.jobs

import java.util.BitSet

/**
 * State of a job's tasks. A task is done, has an attempt, or both; otherwise it waits to be planned.
 *
 * The counts are updated with each change, since each round reads them. Not thread-safe.
 */
class TaskProgress(
    private val jobId: String,
    private val taskCount: Int,
    /** Receives each task whose state changes. */
    private val unwritten: UnwrittenTasks,
) {
    private val done = BitSet(taskCount)
    private val recordedDone = BitSet(taskCount)

    /** The tasks that round records have stated as planned, done or waiting again. */
    private val stated = BitSet()

    /** The tasks that the latest record to state them, as far as known, states as planned. */
    private val statedPlans = BitSet()
    private val attempts = HashMap<Int, Attempt>()
    private val attemptsByState = IntArray(AttemptState.entries.size)
    private var doneWithAttempt = 0

    /** Lower bound of the indices of waiting tasks. */
    private var firstWaiting = 0

    /** Number of done tasks. */
    var doneCount = 0
        private set

    /** Whether all tasks are done. */
    val isComplete: Boolean get() = doneCount == taskCount

    /** Number of tasks that are not done and have no attempt. */
    val waitingCount: Int get() = taskCount - doneCount - attempts.size + doneWithAttempt

    /** The unreleased attempts. */
    val activeAttempts: Collection<Attempt> get() = attempts.values

    /** The unreleased attempt of task [index], or null. */
    fun attempt(index: Int): Attempt? = attempts[index]

    /** Number of attempts in [state]. */
    fun count(state: AttemptState): Int = attemptsByState[state.ordinal]

    /** Whether task [index] is done. */
    fun isDone(index: Int): Boolean = done.get(index)

    /** Whether the store records task [index] as done. */
    fun isDoneRecorded(index: Int): Boolean = recordedDone.get(index)

    /** Adds a newly planned [attempt]. Throws [IllegalStateException] if its task already has an unreleased attempt. */
    fun add(attempt: Attempt) {
        check(attempts.put(attempt.index, attempt) == null) { "$jobId/${attempt.index}: task already has an attempt" }
        attemptsByState[attempt.state.ordinal]++
        if (isDone(attempt.index)) doneWithAttempt++
        unwritten.add(attempt.index)
    }

    /** Removes the released [attempt]; its task waits again unless it is done. */
    fun remove(attempt: Attempt) {
        if (attempts[attempt.index] !== attempt) return
        attempts.remove(attempt.index)
        attemptsByState[attempt.state.ordinal]--
        if (isDone(attempt.index)) doneWithAttempt--
        if (attempt.index < firstWaiting) firstWaiting = attempt.index
        unwritten.add(attempt.index)
    }

    /** Updates the counts after a state change of one of the attempts. */
    fun attemptStateChanged(
        from: AttemptState,
        to: AttemptState,
    ) {
        attemptsByState[from.ordinal]--
        attemptsByState[to.ordinal]++
    }

    /** Marks task [index] as done; all tasks become done through this function. Returns false if the task was done before. */
    fun setDone(index: Int): Boolean {
        if (isDone(index)) return false
        done.set(index)
        doneCount++
        if (attempts.containsKey(index)) doneWithAttempt++
        unwritten.add(index)
        return true
    }

    /** Marks task [index] as recorded as done by the store. */
    fun recordDone(index: Int) = recordedDone.set(index)

    /** Records that a round record in the store states task [index], and whether as [planned]. */
    fun recordStated(
        index: Int,
        planned: Boolean,
    ) {
        if (index >= taskCount) return
        stated.set(index)
        statedPlans.set(index, planned)
    }

    /** Whether the store may still state task [index] as planned. */
    fun isStatedAsPlanned(index: Int): Boolean = statedPlans.get(index)

    /** Whether task [index] waits, while the store may still state it as planned. */
    fun isUnwrittenRelease(index: Int): Boolean = isStatedAsPlanned(index) && index in unwritten && isWaiting(index)

    /** Marks all tasks of [chunk] that records must cover as unwritten. */
    fun rewriteChunk(chunk: Int) = tasksToCover(chunk).forEach(unwritten::add)

    /**
     * The tasks of [chunk] that records must cover, in ascending order. A replay takes a task that no record covers for waiting. A waiting
     * task must be covered once a record has stated it: that record may still be in the store, as other jobs need it, and would plan the
     * task again.
     */
    fun tasksToCover(chunk: Int): List<Int> = tasksOf(chunk).filter { isDone(it) || attempts.containsKey(it) || stated.get(it) }

    private fun tasksOf(chunk: Int): IntRange = chunk * TaskChunks.TASKS_PER_CHUNK until minOf(taskCount, (chunk + 1) * TaskChunks.TASKS_PER_CHUNK)

    /** Whether task [index] is neither done nor has an attempt. */
    fun isWaiting(index: Int): Boolean = !isDone(index) && !attempts.containsKey(index)

    /** The first [limit] waiting tasks, in ascending order. */
    fun waiting(limit: Int): List<Int> {
        val found = ArrayList<Int>(minOf(limit, INITIAL_CAPACITY))
        var index = firstWaiting
        while (index < taskCount && found.size < limit) {
            if (isWaiting(index)) found.add(index)
            index++
        }
        firstWaiting = found.firstOrNull() ?: taskCount
        return found
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
    }
}
