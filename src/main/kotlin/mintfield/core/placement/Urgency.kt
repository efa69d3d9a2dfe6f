package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job
import mintfield.core.model.Shape
import java.util.PriorityQueue

/**
 * The order in which waiting jobs are served: priority; services; work within its team's guarantee; then those arrays
 * that can meet an aim, as many as possible; last what can meet none, the shortest first.
 */
class Urgency(
    private val cluster: Cluster,
) {
    private val finishAims =
        cluster.settings.objectives
            .filter { it.kind == "finished" && it.jobClass != null && it.withinS != null }
            .groupBy({ it.jobClass!! }, { it.withinS!! })
    private val deadlineAims =
        cluster.settings.objectives
            .filter { it.kind == "deadline" && it.jobClass != null }
            .groupBy({ it.jobClass!! }, { it.times ?: 1.0 })

    private class Claim(
        val job: Job,
        /** When it should be done, time of day in milliseconds; ascending, the passed ones left out. */
        val dues: List<Double>,
        val workS: Double,
        val leastS: Double,
    )

    fun sorted(
        waiting: List<Job>,
        wallMs: Long,
    ): List<Job> {
        val guaranteed = guaranteed()
        val order = ArrayList<Job>(waiting.size)
        for ((_, sameRank) in waiting.groupBy { it.spec.priority }.toSortedMap()) {
            val (services, arrays) = sameRank.partition { it.spec.shape == Shape.SERVICE }
            order.addAll(services.sortedWith(compareBy({ it.acceptedAtMs }, { it.spec.id })))
            val (within, beyond) = arrays.partition { it.spec.id in guaranteed }
            order.addAll(byAims(within, wallMs))
            order.addAll(byAims(beyond, wallMs))
        }
        return order
    }

    /** Ids of jobs that, with their team's earlier unfinished ones, fit into the team's guarantee. */
    fun guaranteed(): Set<String> {
        val found = HashSet<String>()
        val used = HashMap<String, DoubleArray>()
        for (job in cluster.jobs.values.sortedBy { it.acceptedAtMs }) {
            val team = cluster.team(job.spec.team) ?: continue
            if (job.withdrawn || (team.cpus <= 0 && team.gpus <= 0)) continue
            val sum = used.getOrPut(job.spec.team) { DoubleArray(2) }
            sum[0] += job.spec.tasks * job.spec.cpus
            sum[1] += job.spec.tasks * job.spec.gpus
            if (sum[0] <= team.cpus + EPSILON && sum[1] <= team.gpus + EPSILON) found.add(job.spec.id)
        }
        return found
    }

    /**
     * Where not all can meet their aims the largest are put off until the rest can (Moore and Hodgson's rule): first for
     * the aims that come next, then for the later ones of those put off. What can be met is served in the order of
     * work times time left: with the earliest aim first every job would end just in time, and one wrong estimate make all
     * after it late; with the least work first alone, large jobs miss aims that they could have met.
     */
    private fun byAims(
        jobs: List<Job>,
        wallMs: Long,
    ): List<Job> {
        if (jobs.size < 2) return jobs
        val capacity = maxOf(1.0, arrayCapacity())
        var open = jobs.map { claim(it, wallMs) }
        val chosen = ArrayList<Job>()
        var loadS = 0.0
        var level = 0
        while (open.any { it.dues.size > level } && level < MAX_LEVELS) {
            val (with, without) = open.partition { it.dues.size > level }
            val accepted = PriorityQueue<Claim>(compareByDescending { it.workS })
            val putOff = ArrayList<Claim>()
            for (c in with.sortedWith(compareBy({ it.dues[level] }, { it.job.spec.id }))) {
                accepted.add(c)
                loadS += c.workS
                val endsMs = wallMs + maxOf(loadS / capacity, c.leastS) * 1000
                if (endsMs > c.dues[level]) {
                    val off = if (wallMs + c.leastS * 1000 > c.dues[level]) c.also { accepted.remove(it) } else accepted.poll()
                    loadS -= off.workS
                    putOff.add(off)
                }
            }
            chosen.addAll(accepted.sortedWith(compareBy<Claim> { it.workS * (it.dues[level] - wallMs) }.thenBy { it.job.spec.id }).map { it.job })
            open = putOff + without
            level++
        }
        return chosen + open.sortedWith(LEAST_WORK).map { it.job }
    }

    /** CPUs of the machines that report, less those of replicas. */
    fun arrayCapacity(): Double {
        var cpus = 0.0
        for (m in cluster.machines.values) {
            if (m.state != MachineState.UP) continue
            cpus += m.type.cpus - m.serviceCpus
        }
        return cpus
    }

    private fun claim(
        job: Job,
        wallMs: Long,
    ): Claim {
        val spec = job.spec
        val expected = cluster.runTimes.expectedS(job)
        val dues = ArrayList<Double>(2)
        finishAims[spec.jobClass]?.forEach { dues.add(job.acceptedAtMs + it * 1000) }
        spec.deadlineS?.let { d -> (deadlineAims[spec.jobClass] ?: listOf(1.0)).forEach { dues.add(job.acceptedAtMs + d * it * 1000) } }
        if (dues.isEmpty()) dues.add(job.acceptedAtMs + DEFAULT_DUE_MS + expected * 1000)
        dues.removeAll { it < wallMs + expected * 1000 }
        dues.sort()
        val left = spec.tasks - job.doneTasks - job.activeAttempts.size / 2.0
        return Claim(job, dues, left * spec.cpus * expected, expected)
    }

    private companion object {
        val LEAST_WORK = compareBy<Claim> { it.workS }.thenBy { it.job.spec.id }

        /** Milliseconds; jobs without an aim of their own are ordered as if they had this one. */
        const val DEFAULT_DUE_MS = 120_000.0
        const val EPSILON = 1e-6

        /** Aims one class may have before the later ones are not looked at. */
        const val MAX_LEVELS = 4
    }
}
