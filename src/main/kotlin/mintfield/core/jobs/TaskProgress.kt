package mintfield.core.jobs

import java.util.BitSet

/**
 * The state of a job's tasks. Each is done, or has an attempt, or both, or else waits to be planned.
 *
 * The counts are kept up to date with each change, as each round asks for them. Not thread-safe.
 */
class TaskProgress(
    private val jobId: String,
    private val taskCount: Int,
    /** Notified of each task whose state changes. */
    private val unwritten: UnwrittenTasks,
) {
    private val done = BitSet(taskCount)
    private val recordedDone = BitSet(taskCount)
    private val attempts = HashMap<Int, Attempt>()
    private val attemptsByState = IntArray(AttemptState.entries.size)
    private var doneWithAttempt = 0

    /** No task below this index waits. */
    private var firstWaiting = 0

    /** Done tasks. */
    var doneCount = 0
        private set

    /** Whether all tasks are done. */
    val isComplete: Boolean get() = doneCount == taskCount

    /** Tasks that are neither done nor have an attempt. */
    val waitingCount: Int get() = taskCount - doneCount - attempts.size + doneWithAttempt

    /** The attempts that are not released. */
    val activeAttempts: Collection<Attempt> get() = attempts.values

    /** The attempt of task [index] that is not released, if there is one. */
    fun attempt(index: Int): Attempt? = attempts[index]

    /** How many attempts are in [state]. */
    fun count(state: AttemptState): Int = attemptsByState[state.ordinal]

    /** Whether task [index] is done. */
    fun isDone(index: Int): Boolean = done.get(index)

    /** Whether the store has it that task [index] is done. */
    fun isDoneRecorded(index: Int): Boolean = recordedDone.get(index)

    /** Task [index] has been planned as [attempt]. Throws [IllegalStateException] if it has an attempt already. */
    fun add(attempt: Attempt) {
        check(attempts.put(attempt.index, attempt) == null) { "$jobId/${attempt.index} is planned twice" }
        attemptsByState[attempt.state.ordinal]++
        if (isDone(attempt.index)) doneWithAttempt++
        unwritten.add(attempt.index)
    }

    /** The released [attempt] occupies nothing any more. */
    fun remove(attempt: Attempt) {
        if (attempts[attempt.index] !== attempt) return
        attempts.remove(attempt.index)
        attemptsByState[attempt.state.ordinal]--
        if (isDone(attempt.index)) doneWithAttempt--
        if (attempt.index < firstWaiting) firstWaiting = attempt.index
        unwritten.add(attempt.index)
    }

    /** An attempt of this job changes its state. */
    fun attemptMoved(
        from: AttemptState,
        to: AttemptState,
    ) {
        attemptsByState[from.ordinal]--
        attemptsByState[to.ordinal]++
    }

    /** The only place where a task becomes done. False if it was done before. */
    fun setDone(index: Int): Boolean {
        if (isDone(index)) return false
        done.set(index)
        doneCount++
        if (attempts.containsKey(index)) doneWithAttempt++
        unwritten.add(index)
        return true
    }

    /** The store has it that task [index] is done. */
    fun recordDone(index: Int) = recordedDone.set(index)

    /** Marks all of a chunk that a record covers, which is what does not wait, as unwritten. */
    fun rewriteChunk(chunk: Int) {
        for (index in tasksOf(chunk)) if (isCoveredByRecords(index)) unwritten.add(index)
    }

    /** How many tasks of a chunk records must cover; a task that none covers counts as waiting. */
    fun coveredCount(chunk: Int): Int = tasksOf(chunk).count { isCoveredByRecords(it) }

    private fun tasksOf(chunk: Int): IntRange = chunk * TaskChunks.TASKS until minOf(taskCount, (chunk + 1) * TaskChunks.TASKS)

    private fun isCoveredByRecords(index: Int): Boolean = isDone(index) || attempts.containsKey(index)

    /** Up to [most] waiting tasks, in order. */
    fun waiting(most: Int): List<Int> {
        val found = ArrayList<Int>(minOf(most, INITIAL_CAPACITY))
        var index = firstWaiting
        while (index < taskCount && found.size < most) {
            if (!isDone(index) && !attempts.containsKey(index)) found.add(index)
            index++
        }
        firstWaiting = found.firstOrNull() ?: taskCount
        return found
    }

    private companion object {
        const val INITIAL_CAPACITY = 64
    }
}
