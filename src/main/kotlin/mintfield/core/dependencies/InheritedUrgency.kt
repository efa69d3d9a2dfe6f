package mintfield.core.dependencies

import mintfield.core.Cluster
import mintfield.core.constants.TimeUnits
import mintfield.core.constants.UserApiConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority

/**
 * Inheritance of priority and deadline along dependencies. Users set both only on the last job of a pipeline. With their own priority
 * and deadline, its predecessors would be placed last and end after the deadline of the last job.
 *
 * A job has the highest priority of itself and its unfinished direct and transitive successors. It inherits a due time
 * from each of these successors that has a deadline: the deadline, less the time that the successor and the jobs in between are expected
 * to take to start, fetch their images and run. The earliest of these due times applies.
 */
class InheritedUrgency(
    private val cluster: Cluster,
    private val dependencies: DependencyGraph,
) {
    private var refreshedVersion = -1L
    private var refreshedAtMs = Machine.NEVER
    private var inheritingJobs: List<Job> = emptyList()

    /** The priority and due time that a job passes on to its predecessors. */
    private class Urgency(
        val priority: Priority,
        /** Latest wall-clock time in milliseconds at which the predecessors must be done; null without a deadline. */
        val dueBeforeMs: Double?,
    )

    /**
     * Updates the priority, deadline and criticality of all jobs with successors if the graph or the learned run times may have changed.
     * [nowMs] is the monotonic time and [wallMs] the wall-clock time, both in milliseconds.
     */
    fun refresh(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (refreshedVersion == dependencies.version && nowMs - refreshedAtMs < UserApiConstants.INHERITANCE_REFRESH_MS) return
        refreshedVersion = dependencies.version
        refreshedAtMs = nowMs
        inheritingJobs.forEach(::reset)
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
            if (node.isActive) urgencies[node] = urgencyOf(node, inherited)
        }
        inheritingJobs = jobs
    }

    private fun reset(job: Job) {
        job.priority = job.spec.priority
        job.inheritedDueMs = null
        job.deadlineCritical = false
    }

    /**
     * Whether the expected end of [job] is close to its due time, before or after. A job that is expected to end long after its due time
     * is not critical any more, as preempting others would not make it meet the due time.
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

    private fun urgencyOf(
        node: DependencyNode,
        inherited: List<Urgency>,
    ): Urgency {
        val accepted = checkNotNull(node.job)
        val own = accepted.spec.deadlineS?.let { accepted.acceptedAtMs + it * TimeUnits.MS_PER_SECOND }
        val due = listOfNotNull(own, earliest(inherited)).minOrNull()
        val priority = minOf(accepted.spec.priority, inherited.minOfOrNull { it.priority } ?: Priority.IDLE)
        return Urgency(priority, due?.let { it - durationMs(node) })
    }

    /** Expected time in milliseconds from the readiness of the job of [node] to its end. */
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
