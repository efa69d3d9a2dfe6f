package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.jobs.Job
import mintfield.core.jobs.JobHealth
import mintfield.core.model.Priority
import mintfield.core.model.Shape

/**
 * The order in which waiting jobs are placed. Jobs are ordered by priority. Within a priority, services come first, then arrays and gangs
 * within their team's guaranteed quota, then the other arrays and gangs. [DeadlineOrder] orders the arrays and gangs of each group so that
 * as many as possible meet their due times.
 */
class JobOrder(
    private val cluster: Cluster,
) {
    /** Resources of a team's guaranteed quota that its jobs use. */
    private class QuotaUse {
        var cpus = 0.0
        var gpus = 0.0
    }

    private val claims = DeadlineClaims(cluster)
    private val deadlineOrder = DeadlineOrder(cluster, claims)

    /** The jobs of [waiting] in their order at the wall-clock time [wallMs]. Sets [Job.expedited] of the jobs to expedite. */
    fun sorted(
        waiting: List<Job>,
        wallMs: Long,
    ): List<Job> {
        val guaranteed = guaranteed()
        val order = ArrayList<Job>(waiting.size)
        for ((_, sameRank) in waiting.groupBy(::rank).toSortedMap()) {
            val (services, others) = sameRank.partition { it.spec.shape == Shape.SERVICE }
            order.addAll(services.sortedWith(compareBy({ it.acceptedAtMs }, { it.spec.id })))
            val (within, beyond) = others.partition { it.spec.id in guaranteed }
            order.addAll(deadlineOrder.sorted(within, wallMs))
            order.addAll(deadlineOrder.sorted(beyond, wallMs))
        }
        return order
    }

    /**
     * The priority by which [job] is ordered. An array of idle priority whose class has an objective is ordered as one of normal priority:
     * it may belong to a pipeline whose last job has not been submitted yet, and then no inherited priority shows that users wait for it.
     */
    private fun rank(job: Job): Priority {
        val hasObjective = job.spec.shape == Shape.ARRAY && claims.hasObjective(job.spec)
        return if (job.priority == Priority.IDLE && hasObjective) Priority.NORMAL else job.priority
    }

    /** Ids of the jobs that, together with their team's unfinished jobs that became ready earlier, fit into the team's guaranteed quota. */
    fun guaranteed(): Set<String> {
        val guaranteed = HashSet<String>()
        val useByTeam = HashMap<String, QuotaUse>()
        for (job in readyJobs()) {
            val team = cluster.quotas.team(job.spec.team) ?: continue
            if (job.cancelled || job.health == JobHealth.SUSPECT || (team.cpus <= 0 && team.gpus <= 0)) continue
            val use = useByTeam.getOrPut(job.spec.team) { QuotaUse() }
            use.cpus += job.spec.tasks * job.spec.cpus
            use.gpus += job.spec.tasks * job.spec.gpus
            if (use.cpus <= team.cpus + EPSILON && use.gpus <= team.gpus + EPSILON) guaranteed.add(job.spec.id)
        }
        return guaranteed
    }

    private fun readyJobs(): List<Job> =
        cluster.jobs.values
            .filter { it.ready }
            .sortedBy { it.readySinceMs }

    private companion object {
        /** Tolerance for rounding errors in sums of fractions. */
        const val EPSILON = 1e-6
    }
}
