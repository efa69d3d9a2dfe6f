package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.jobs.Job
import mintfield.core.model.JobSpec
import mintfield.core.model.Objective

/** The due times of a waiting job and the work that remains until it is done. */
internal class DeadlineClaim(
    val job: Job,
    /** Wall-clock times in milliseconds by which the job should be done, ascending, without those that it cannot meet any more. */
    val dueTimesMs: List<Double>,
    /** The earliest due time of a strict objective, which few jobs may miss; null if there is none. */
    val strictDueMs: Double?,
    /** CPU seconds that the job's unfinished tasks are expected to take. */
    val workCpuS: Double,
    /** Minimum duration of the job in seconds, however many CPUs it gets: the expected run time of one task. */
    val minDurationS: Double,
)

/** Computes the [DeadlineClaim] of a job from the objectives of its class, its own deadline and the deadlines of the jobs that depend on it. */
internal class DeadlineClaims(
    private val cluster: Cluster,
) {
    private val objectives: Map<String, List<Objective>> =
        cluster.settings.objectives
            .filter { it.kind in KINDS && it.jobClass != null }
            .groupBy { it.jobClass!! }

    /** Whether the class of [spec] has an objective. */
    fun hasObjective(spec: JobSpec): Boolean = spec.jobClass in objectives

    /** The claim of [job] at the wall-clock time [wallMs]. */
    fun of(
        job: Job,
        wallMs: Long,
    ): DeadlineClaim {
        val expectedS = cluster.runTimes.expectedS(job)
        val earliestEndMs = wallMs + expectedS * TimeUnits.MS_PER_SECOND
        val dueTimesMs = ArrayList<Double>(EXPECTED_DUE_TIMES)
        val strictDueMs = addObjectives(job, expectedS, earliestEndMs, dueTimesMs)
        ownDueS(job.spec, expectedS)?.let { addIfMeetable(job.readySinceMs + it * TimeUnits.MS_PER_SECOND, earliestEndMs, dueTimesMs) }
        job.inheritedDueMs?.let { addIfMeetable(it, earliestEndMs, dueTimesMs) }
        dueTimesMs.sort()
        val unfinishedTasks = maxOf(0.0, job.demand - job.activeAttempts.size * ACTIVE_DONE_FRACTION)
        return DeadlineClaim(job, dueTimesMs, strictDueMs, unfinishedTasks * job.spec.cpus * expectedS, expectedS)
    }

    private fun addIfMeetable(
        dueMs: Double,
        earliestEndMs: Double,
        dueTimesMs: MutableList<Double>,
    ) {
        if (dueMs >= earliestEndMs) dueTimesMs.add(dueMs)
    }

    /** Adds the due times of the class's objectives that can still be met. Returns the earliest strict one of them, or null if there is none. */
    private fun addObjectives(
        job: Job,
        expectedS: Double,
        earliestEndMs: Double,
        dueTimesMs: MutableList<Double>,
    ): Double? {
        var strictDueMs: Double? = null
        for (objective in objectives[job.spec.jobClass].orEmpty()) {
            val fromMs = if (objective.kind == DEADLINE) job.acceptedAtMs else job.readySinceMs
            val dueMs = fromMs + (dueS(objective, job.spec, expectedS) ?: continue) * TimeUnits.MS_PER_SECOND
            if (dueMs < earliestEndMs) continue
            dueTimesMs.add(dueMs)
            if (isStrict(objective) && (strictDueMs == null || dueMs < strictDueMs)) strictDueMs = dueMs
        }
        return strictDueMs
    }

    private fun isStrict(objective: Objective) = (objective.targetFraction ?: 0.0) >= PlacementConstants.STRICT_OBJECTIVE_FRACTION

    /**
     * Seconds within which a job of [spec] must be done to meet [objective]; null if the objective sets no time. An objective on the wait
     * bounds the start of the last task, which ends [expectedS] later.
     */
    private fun dueS(
        objective: Objective,
        spec: JobSpec,
        expectedS: Double,
    ): Double? =
        when (objective.kind) {
            FINISHED -> objective.withinS
            DEADLINE -> spec.deadlineS?.let { it * (objective.deadlineFactor ?: 1.0) }
            WAIT -> objective.withinS?.let { it + expectedS }
            else -> null
        }

    /**
     * Seconds within which a job of [spec] should be done irrespective of objectives: its own deadline, unless an objective already takes
     * it into account; null if there is none.
     */
    private fun ownDueS(
        spec: JobSpec,
        expectedS: Double,
    ): Double? {
        val ofClass = objectives[spec.jobClass].orEmpty()
        val deadlineS = if (ofClass.any { it.kind == DEADLINE }) null else spec.deadlineS
        return deadlineS ?: if (ofClass.isEmpty()) DEFAULT_DUE_S + expectedS else null
    }

    private companion object {
        const val FINISHED = "finished"
        const val DEADLINE = "deadline"
        const val WAIT = "wait"

        /** Kinds of objectives that set a due time for each job. */
        val KINDS = setOf(FINISHED, DEADLINE, WAIT)

        /** Deadline in seconds that is assumed for jobs with neither an objective nor a deadline. */
        const val DEFAULT_DUE_S = 120.0

        /** Fraction of its work that a planned or running task is assumed to have done. */
        const val ACTIVE_DONE_FRACTION = 0.5
        const val EXPECTED_DUE_TIMES = 4
    }
}
