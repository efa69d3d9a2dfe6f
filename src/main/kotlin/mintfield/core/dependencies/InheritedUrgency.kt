package mintfield.core.dependencies

import mintfield.core.Cluster
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.UserApiConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority

/**
 * Priority and deadline inheritance along dependencies. Users give both to the last job of a pipeline only; by their own, the jobs that
 * it depends on would be served last and end after its deadline.
 *
 * A job has the highest priority among itself and its unfinished successors, direct and through others. It is due when the earliest of
 * them is, less the time that the jobs in between are expected to take to start, fetch their images and run.
 */
class InheritedUrgency(
    private val cluster: Cluster,
    private val dependencies: DependencyGraph,
) {
    private var seenVersion = -1L
    private var refreshedAtMs = Machine.NEVER
    private var inheriting: List<Job> = emptyList()

    /** What a job demands of the jobs that it depends on. */
    private class Urgency(
        val priority: Priority,
        /** When they must be done at the latest, time of day in milliseconds; null without a deadline. */
        val dueBeforeMs: Double?,
    )

    /**
     * Updates the priority, deadline and criticality of all jobs with successors, if the graph has changed or the learned run times may
     * have. [nowMs] is the steady clock, [wallMs] the time of day, in milliseconds.
     */
    fun refresh(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (seenVersion == dependencies.version && nowMs - refreshedAtMs < UserApiConstants.INHERITANCE_REFRESH_MS) return
        seenVersion = dependencies.version
        refreshedAtMs = nowMs
        inheriting.forEach(::reset)
        val urgencies = HashMap<DependencyNode, Urgency>()
        val jobs = ArrayList<Job>()
        for (node in successorsFirst()) {
            val inherited = node.successors.mapNotNull { urgencies[it] }
            val job = cluster.jobs[node.id]
            if (job != null && inherited.isNotEmpty()) {
                inherit(job, inherited)
                job.deadlineCritical = isDeadlineCritical(job, node, wallMs)
                jobs.add(job)
            }
            if (node.wanted) urgencies[node] = demandOf(node, inherited)
        }
        inheriting = jobs
    }

    private fun reset(job: Job) {
        job.priority = job.spec.priority
        job.inheritedDueMs = null
        job.deadlineCritical = false
    }

    /**
     * Whether the job is expected to end close to when it is due, before or after. Long after that it is not critical any more, as
     * preempting others gains nothing then.
     */
    private fun isDeadlineCritical(
        job: Job,
        node: DependencyNode,
        wallMs: Long,
    ): Boolean {
        val dueMs = job.inheritedDueMs ?: return false
        if (node.job == null) return false
        val endsMs = wallMs + durationMs(node)
        val windowMs = UserApiConstants.PIPELINE_CRITICAL_WINDOW_MS
        return endsMs + windowMs > dueMs && endsMs < dueMs + windowMs
    }

    private fun inherit(
        job: Job,
        urgencies: List<Urgency>,
    ) {
        job.priority = minOf(job.spec.priority, urgencies.minOf { it.priority })
        job.inheritedDueMs = earliest(urgencies)
    }

    private fun earliest(urgencies: List<Urgency>): Double? = urgencies.mapNotNull { it.dueBeforeMs }.minOrNull()

    private fun demandOf(
        node: DependencyNode,
        inherited: List<Urgency>,
    ): Urgency {
        val accepted = checkNotNull(node.job)
        val own = accepted.spec.deadlineS?.let { accepted.acceptedAtMs + it * TimeUnits.MS_PER_SECOND }
        val due = listOfNotNull(own, earliest(inherited)).minOrNull()
        val priority = minOf(accepted.spec.priority, inherited.minOfOrNull { it.priority } ?: Priority.IDLE)
        return Urgency(priority, due?.let { it - durationMs(node) })
    }

    /** Milliseconds that the job of [node] is expected to take from its readiness to its end. */
    private fun durationMs(node: DependencyNode): Double {
        val accepted = checkNotNull(node.job)
        val runS = cluster.jobs[node.id]?.let { cluster.runTimes.expectedS(it) } ?: accepted.spec.estimateS
        val fetchGbPerS = accepted.compatibleTypes.mapNotNull { cluster.types[it]?.fetchGbPerS }.minOrNull() ?: 0.0
        val fetchS = if (fetchGbPerS > 0) accepted.spec.imageGb / fetchGbPerS else 0.0
        return (runS * UserApiConstants.PIPELINE_RUN_FACTOR + fetchS) * TimeUnits.MS_PER_SECOND + UserApiConstants.PIPELINE_START_MS
    }

    /** The nodes of the graph in topological order (Kahn's algorithm), each after all of its successors. */
    private fun successorsFirst(): List<DependencyNode> {
        val remainingSuccessors = HashMap<DependencyNode, Int>()
        val order = ArrayList<DependencyNode>(dependencies.all.size)
        for (node in dependencies.all) {
            remainingSuccessors[node] = node.successors.size
            if (node.successors.isEmpty()) order.add(node)
        }
        var next = 0
        while (next < order.size) {
            for (predecessor in order[next].predecessors) {
                val remaining = remainingSuccessors.getValue(predecessor) - 1
                remainingSuccessors[predecessor] = remaining
                if (remaining == 0) order.add(predecessor)
            }
            next++
        }
        return order
    }
}
