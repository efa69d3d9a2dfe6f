package mintfield.core.jobs

import mintfield.core.constants.PlacementConstants
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/** The state that a leader keeps of an unfinished job. Not thread-safe. */
class Job(
    accepted: AcceptedJob,
) {
    val spec: JobSpec = accepted.spec
    val id: String get() = spec.id

    /** Wall-clock time at which the job was accepted, in milliseconds. */
    val acceptedAtMs: Long = accepted.acceptedAtMs

    /** Names of the machine types on which its tasks may run. */
    val compatibleTypes: Set<String> = accepted.compatibleTypes.toSet()

    /** Its tasks whose current state is not written to the store yet. */
    val unwritten = UnwrittenTasks()

    /** Which tasks are done, have an attempt or wait. */
    val progress = TaskProgress(spec.id, spec.tasks, unwritten)

    /** The round records that cover its tasks. */
    internal val coverage = RoundCoverage()

    /** Failures of its tasks, and the health derived from them. */
    val failureRecord = JobFailureRecord(this)

    // ---- its record in the store ----

    /** Revision of its record in the store. */
    var revision: Long = accepted.revision
        private set

    /** Whether its cancellation was confirmed to the user, according to its record or to the controller that confirmed it. */
    var cancelled = accepted.cancelled
        private set

    /**
     * Whether its record states that it is cancelled; only then does it have a final state, and its record may be deleted. A controller
     * may confirm a cancellation earlier, also that of a job that is cancelled because a predecessor was.
     */
    var cancellationRecorded = accepted.cancelled
        private set

    /** Whether its final state has been written, or its record has a change not read yet: nothing is planned or written for it. */
    var finishing = false
        private set

    /** Whether one of its records cannot be decoded: the records are kept unchanged, and no new ones are written for the job. */
    var unreadable = false

    /** Applies its record, read again at a higher revision. Does not change [cancelled], which only [cancel] sets. */
    fun recordChanged(accepted: AcceptedJob) {
        revision = accepted.revision
        finishing = false
        cancellationRecorded = accepted.cancelled
    }

    /** Sets [cancelled], which is final: the cancellation was confirmed to the user. */
    fun cancel() {
        cancelled = true
    }

    /** Sets [finishing]. */
    fun finish() {
        finishing = true
    }

    // ---- dependencies ----

    /** Whether all its predecessors are done; until then it has no demand. */
    var ready = spec.predecessors.isEmpty()
        private set

    /** Wall-clock time in milliseconds at which it could start: its acceptance or the end of its last predecessor, whichever is later. */
    var readySinceMs = acceptedAtMs
        private set

    /** The highest among its own priority and the priorities of the jobs that depend on it. */
    var priority: Priority = spec.priority

    /** Whether it must start now for the jobs that depend on it to meet their deadlines. */
    var deadlineCritical = false

    /** Wall-clock time in milliseconds by which it must be done for the jobs that depend on it to meet their deadlines. */
    var inheritedDueMs: Double? = null

    /**
     * The priority with which it preempts others: its own, or the inherited one if it is deadline-critical. Capacity is freed
     * continuously, and a job of high inherited priority gets it first; preempting for a job that can wait a few seconds costs more than
     * it gains.
     */
    val preemptionPriority: Priority get() = if (deadlineCritical) priority else spec.priority

    /** Sets [ready]: all predecessors have been done since [sinceMs], a wall-clock time in milliseconds, or 0 if unknown. */
    fun becomeReady(sinceMs: Long) {
        if (ready) return
        ready = true
        readySinceMs = maxOf(acceptedAtMs, sinceMs)
    }

    // ---- times ----

    /** When this leader first read the job or found it ready, in milliseconds of monotonic time. */
    var firstSeenAtMs = 0L

    /** When one of its tasks was last planned, in milliseconds of monotonic time. */
    var lastPlanAtMs = 0L

    /** When one of its tasks last became waiting while no other one waited, in milliseconds of monotonic time. */
    private var waitingSinceMs = 0L

    /** Records that a task of it waits again, while no other one waited. */
    fun waitBegan(nowMs: Long) {
        waitingSinceMs = nowMs
    }

    /** Milliseconds for which tasks of it have waited without one of them being planned. Only meaningful while tasks wait. */
    fun placementWaitMs(nowMs: Long): Long = nowMs - maxOf(firstSeenAtMs, lastPlanAtMs, waitingSinceMs)

    /**
     * Whether it has waited so long that it uses every machine that its constraints allow. Before, it leaves out machines on which a task of
     * it has failed, and capacity that is reserved for others.
     */
    fun acceptsAnyMachine(nowMs: Long): Boolean = placementWaitMs(nowMs) >= PlacementConstants.PREFERENCE_WAIT_LIMIT_MS

    /** When a heartbeat last showed that one of its tasks had started to run, in milliseconds of monotonic time. */
    var lastRunAtMs = 0L

    /** Completed tasks whose run time was measured. */
    var measuredTasks = 0
        private set
    private var measuredS = 0.0

    /** Mean run time of the measured tasks, in seconds; NaN if [measuredTasks] is 0. */
    val meanRunS: Double get() = measuredS / measuredTasks

    /** Adds the run time of a completed task, in seconds. */
    fun addRunTime(seconds: Double) {
        measuredTasks++
        measuredS += seconds
    }

    // ---- placement ----

    /** Whether it is placed ahead of all others to meet a strict objective; the CPUs of its tasks count towards the limit for expedited jobs. */
    var expedited = false

    val health: JobHealth get() = failureRecord.health

    /** Ids of the machines on which a task of the job has ever failed. */
    val failedOn: Set<String> get() = failureRecord.failedOn

    /** Time before which none of its tasks is planned, in milliseconds of monotonic time. */
    var notBeforeMs = 0L
        private set

    /** The maximum number of planned tasks in view of its failures. */
    private var failureCap = Int.MAX_VALUE

    /** Applies the limits set by [failureRecord]. They are copied to this class because each round reads them for every job. */
    internal fun limitStarts(
        notBeforeMs: Long,
        failureCap: Int,
    ) {
        this.notBeforeMs = notBeforeMs
        this.failureCap = failureCap
    }

    /** The zone required for its next task, or null: the zone of its specification, or of its other tasks if all must share one. */
    val boundZone: String?
        get() {
            if (spec.zone != null || !spec.oneZone) return spec.zone
            return activeAttempts.firstOrNull()?.machine?.zone
        }

    /** The maximum number of planned tasks; unlimited for a gang, which is planned as a whole. */
    private val concurrencyCap: Int get() = if (spec.shape == Shape.GANG) Int.MAX_VALUE else failureCap

    /** Number of tasks that may be planned now. */
    val schedulableTasks: Int
        get() {
            if (!ready) return 0
            val cap = concurrencyCap
            return if (cap == Int.MAX_VALUE) waitingCount else minOf(waitingCount, maxOf(0, cap - activeAttempts.size))
        }

    /** Number of tasks for which capacity should be provided: for a suspect job, only that of its probes. */
    val demand: Int
        get() =
            when {
                !ready -> 0
                failureCap < Int.MAX_VALUE && health == JobHealth.SUSPECT -> minOf(spec.tasks - doneTasks, concurrencyCap)
                else -> spec.tasks - doneTasks
            }

    // ---- tasks ----

    /** Its unreleased attempts. */
    val activeAttempts: Collection<Attempt> get() = progress.activeAttempts

    /** Number of tasks that are done. */
    val doneTasks: Int get() = progress.doneCount

    /** Number of tasks that are neither done nor planned. */
    val waitingCount: Int get() = progress.waitingCount

    /** Whether all its tasks are done. */
    val allDone: Boolean get() = progress.isComplete

    /** Whether any of its tasks is done or has an unreleased attempt. */
    val hasStartedTasks: Boolean get() = doneTasks > 0 || activeAttempts.isNotEmpty()

    /** Whether any of its attempts must be written to the store before its start may be sent. */
    val planning: Boolean get() = count(AttemptState.PLANNING) > 0

    /** The unreleased attempt of task [index], or null. */
    fun attempt(index: Int): Attempt? = progress.attempt(index)

    /** Number of its attempts in [state]. */
    fun count(state: AttemptState): Int = progress.count(state)

    /** The first [limit] tasks that are neither done nor planned, in ascending order. */
    fun waiting(limit: Int): List<Int> = progress.waiting(limit)
}
