package mintfield.core.jobs

import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** An unfinished job as its leader knows it. Not thread-safe. */
class Job(
    accepted: AcceptedJob,
) {
    val spec: JobSpec = accepted.spec
    val id: String get() = spec.id

    /** When it was accepted, time of day in milliseconds. */
    val acceptedAtMs: Long = accepted.acceptedAtMs

    /** Names of the machine types that its tasks may run on. */
    val compatibleTypes: Set<String> = accepted.compatibleTypes.toSet()

    /** The state of its tasks. */
    val progress = TaskProgress(spec.id, spec.tasks)

    /** The round records that cover its tasks. */
    internal val coverage = RoundCoverage()

    /** Its failures and its health. */
    val failureRecord = JobFailureRecord(spec.id)

    // ---- its record in the store ----

    /** Revision of its record in the store. */
    var revision: Long = accepted.revision
        private set

    /** Whether a user was told that it is cancelled, as its record or a peer says. */
    var cancelled = accepted.cancelled
        private set

    /**
     * Whether its record says that it is cancelled; only then has it a final state, and its record may go. A peer may tell sooner, and
     * of a job that is cancelled with a predecessor before anything of that is written.
     */
    var cancellationRecorded = accepted.cancelled
        private set

    /** Whether its final state has been written, or its record has changed in a way not read yet: nothing is planned or written for it. */
    var finishing = false
        private set

    /** One of its records could not be read; it is kept as it is, and gets nothing new. */
    var unreadable = false

    /** Its record was read anew, at a higher revision. Whether it is cancelled is changed by [cancel] alone. */
    fun recordChanged(accepted: AcceptedJob) {
        revision = accepted.revision
        finishing = false
        cancellationRecorded = accepted.cancelled
    }

    /** A user was told that it is cancelled. Final. */
    fun cancel() {
        cancelled = true
    }

    /** Sets [finishing]. */
    fun finish() {
        finishing = true
    }

    // ---- dependencies ----

    /** Whether all its predecessors are done; before that it asks for nothing. */
    var ready = spec.predecessors.isEmpty()
        private set

    /** Time of day in milliseconds from which it could start: that of its acceptance, or of its last predecessor's end. */
    var readySinceMs = acceptedAtMs
        private set

    /** The highest of its own priority and those of the jobs that depend on it. */
    var priority: Priority = spec.priority

    /** Whether it must start now for the jobs that depend on it to meet their deadlines. */
    var deadlineCritical = false

    /** When it must be done for the jobs that depend on it to meet their deadlines, time of day in milliseconds. */
    var inheritedDueMs: Double? = null

    /**
     * The priority with which it preempts others: its own, unless it is deadline-critical. Capacity comes free all the time, and a job
     * of high inherited priority is the first to get it; to preempt for a job that can wait a few seconds costs more than it gains.
     */
    val displacingPriority: Priority get() = if (deadlineCritical) priority else spec.priority

    /** Its predecessors have been done since [sinceMs], a time of day in milliseconds; 0 if that is not known. */
    fun becomeReady(sinceMs: Long) {
        if (ready) return
        ready = true
        readySinceMs = maxOf(acceptedAtMs, sinceMs)
    }

    // ---- times ----

    /** When this leader first knew of it, or found it ready, in steady milliseconds. */
    var firstSeenAtMs = 0L

    /** When a task of it was last planned, in steady milliseconds. */
    var lastPlanAtMs = 0L

    /** When a task of it was last seen to begin to run, in steady milliseconds. */
    var lastRunAtMs = 0L

    /** Completed tasks whose run time was measured. */
    var measuredTasks = 0
        private set
    private var measuredS = 0.0

    /** Mean run time of the measured tasks, in seconds. Only to be asked for if there are any. */
    val meanRunS: Double get() = measuredS / measuredTasks

    /** A task has completed after running for [seconds]. */
    fun addRunTime(seconds: Double) {
        measuredTasks++
        measuredS += seconds
    }

    // ---- placement ----

    /** Whether it was placed ahead of others to meet a strict objective; what its tasks hold counts towards the limit for such jobs. */
    var boosted = false

    val health: JobHealth get() = failureRecord.health

    /** The machines that have ever failed a task of it. */
    val failedOn: Set<String> get() = failureRecord.failedOn

    /** No task is planned before this moment, in steady milliseconds. */
    val notBeforeMs: Long get() = failureRecord.notBeforeMs

    /** The zone that its next task must be in, if there is one: that of its specification, or of its other tasks if all must share one. */
    val boundZone: String?
        get() {
            if (spec.zone != null || !spec.oneZone) return spec.zone
            return activeAttempts.firstOrNull()?.machine?.zone
        }

    /** The most tasks that it may have at once. A gang is planned as a whole. */
    private val concurrencyCap: Int get() = if (spec.shape == Shape.GANG) Int.MAX_VALUE else failureRecord.concurrencyCap

    /** How many tasks may be planned now. */
    val schedulableTasks: Int
        get() {
            if (!ready) return 0
            val cap = concurrencyCap
            if (cap == Int.MAX_VALUE) return waitingCount
            return minOf(waitingCount, maxOf(0, cap - activeAttempts.size))
        }

    /** How many tasks capacity should be provided for: a suspect job needs it for its probes only. */
    val demand: Int
        get() =
            when {
                !ready -> 0
                health == JobHealth.SUSPECT -> minOf(spec.tasks - doneTasks, concurrencyCap)
                else -> spec.tasks - doneTasks
            }

    // ---- tasks ----

    /** Its attempts that are not released. */
    val activeAttempts: Collection<Attempt> get() = progress.activeAttempts

    /** How many of its tasks are done. */
    val doneTasks: Int get() = progress.doneCount

    /** How many of its tasks are neither done nor planned. */
    val waitingCount: Int get() = progress.waitingCount

    /** Whether all its tasks are done. */
    val allDone: Boolean get() = doneTasks == spec.tasks

    /** Whether any of its tasks is done, or is planned now. */
    val begun: Boolean get() = doneTasks > 0 || activeAttempts.isNotEmpty()

    /** Whether a plan waits to be written before its start may be sent. */
    val planning: Boolean get() = count(AttemptState.PLANNING) > 0

    /** The attempt of task [index] that is not released, if there is one. */
    fun attempt(index: Int): Attempt? = progress.attempt(index)

    /** How many of its attempts are in [state]. */
    fun count(state: AttemptState): Int = progress.count(state)

    /** Up to [most] tasks that are neither done nor planned, in order. */
    fun waiting(most: Int): List<Int> = progress.waiting(most)
}
