package mintfield.core.dependencies

import mintfield.core.Cluster
import mintfield.core.constants.UserApiConstants
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job
import mintfield.core.model.Priority

/**
 * Hands the priority and the deadline of a pipeline's last job on to the jobs that it depends on. Users set both on that one only, so
 * by their own the others would be served last and end when the deadline is over.
 *
 * A job takes the highest priority among itself and its unfinished successors, direct and through others. It is due when the
 * earliest of them is, less what the jobs in between are expected to take: run, fetch of the image, and start.
 */
class InheritedUrgency(
    private val cluster: Cluster,
    private val dependencies: DependencyGraph,
) {
    private var seenVersion = -1L
    private var refreshedAtMs = Machine.NEVER
    private var changed: List<Job> = emptyList()

    /** What a job passes on to the jobs that it depends on. */
    private class Urgency(
        val priority: Priority,
        /** When the predecessors must be done at the latest, time of day in milliseconds; null without a deadline. */
        val dueBeforeMs: Double?,
    )

    /** Brings the jobs up to date, if the graph has changed or the run times may have been learned anew. */
    fun refresh(
        nowMs: Long,
        wallMs: Long,
    ) {
        if (seenVersion == dependencies.version && nowMs - refreshedAtMs < UserApiConstants.INHERITANCE_REFRESH_MS) return
        seenVersion = dependencies.version
        refreshedAtMs = nowMs
        changed.forEach(::reset)
        val urgencies = HashMap<DependencyGraph.Node, Urgency>()
        val jobs = ArrayList<Job>()
        for (node in successorsFirst()) {
            val inherited = node.successors.mapNotNull { urgencies[it] }
            val job = cluster.jobs[node.id]
            if (job != null && inherited.isNotEmpty()) {
                inherit(job, inherited)
                job.deadlineCritical = isDeadlineCritical(job, node, wallMs)
                jobs.add(job)
            }
            if (node.wanted) urgencies[node] = passedOn(node, inherited)
        }
        changed = jobs
    }

    private fun reset(job: Job) {
        job.priority = job.spec.priority
        job.inheritedDueMs = null
        job.deadlineCritical = false
    }

    /** Once it is too late it presses no more: then nothing is gained by stopping others. */
    private fun isDeadlineCritical(
        job: Job,
        node: DependencyGraph.Node,
        wallMs: Long,
    ): Boolean {
        val dueMs = job.inheritedDueMs ?: return false
        if (node.job == null) return false
        val endsMs = wallMs + durationMs(node)
        return endsMs + UserApiConstants.PIPELINE_CRITICAL_WINDOW_MS > dueMs && endsMs < dueMs + UserApiConstants.PIPELINE_CRITICAL_WINDOW_MS
    }

    private fun inherit(
        job: Job,
        urgencies: List<Urgency>,
    ) {
        job.priority = minOf(job.spec.priority, urgencies.minOf { it.priority })
        job.inheritedDueMs = earliest(urgencies)
    }

    private fun earliest(urgencies: List<Urgency>): Double? = urgencies.mapNotNull { it.dueBeforeMs }.minOrNull()

    private fun passedOn(
        node: DependencyGraph.Node,
        inherited: List<Urgency>,
    ): Urgency {
        val accepted = checkNotNull(node.job)
        val own = accepted.spec.deadlineS?.let { accepted.acceptedAtMs + it * MS_PER_S }
        val due = listOfNotNull(own, earliest(inherited)).minOrNull()
        val priority = minOf(accepted.spec.priority, inherited.minOfOrNull { it.priority } ?: Priority.IDLE)
        return Urgency(priority, due?.let { it - durationMs(node) })
    }

    /** What the job of [node] is expected to take from its readiness to its end. */
    private fun durationMs(node: DependencyGraph.Node): Double {
        val accepted = checkNotNull(node.job)
        val runS = cluster.jobs[node.id]?.let { cluster.runTimes.expectedS(it) } ?: accepted.spec.estimateS
        val fetchGbPerS = accepted.compatibleTypes.mapNotNull { cluster.types[it]?.fetchGbPerS }.minOrNull() ?: 0.0
        val fetchS = if (fetchGbPerS > 0) accepted.spec.imageGb / fetchGbPerS else 0.0
        return (runS * UserApiConstants.PIPELINE_RUN_FACTOR + fetchS) * MS_PER_S + UserApiConstants.PIPELINE_START_MS
    }

    /** The nodes of the graph, each after all of its successors. */
    private fun successorsFirst(): List<DependencyGraph.Node> {
        val left = HashMap<DependencyGraph.Node, Int>()
        val order = ArrayList<DependencyGraph.Node>(dependencies.all.size)
        for (node in dependencies.all) {
            left[node] = node.successors.size
            if (node.successors.isEmpty()) order.add(node)
        }
        var next = 0
        while (next < order.size) {
            for (predecessor in order[next].predecessors) {
                val remaining = left.getValue(predecessor) - 1
                left[predecessor] = remaining
                if (remaining == 0) order.add(predecessor)
            }
            next++
        }
        return order
    }

    private companion object {
        const val MS_PER_S = 1000.0
    }
}
