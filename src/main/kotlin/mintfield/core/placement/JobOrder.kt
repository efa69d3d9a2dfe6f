package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.PlacementConstants
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Job
import mintfield.core.jobs.JobHealth
import mintfield.core.model.JobSpec
import mintfield.core.model.Objective
import mintfield.core.model.Priority
import mintfield.core.model.Shape
import java.util.PriorityQueue

/**
 * The order in which waiting jobs are served: priority; services; work within its team's guarantee; then those arrays
 * that can meet an aim, as many as possible; last what can meet none, the shortest first.
 */
class JobOrder(
    private val cluster: Cluster,
) {
    private val aims =
        cluster.settings.objectives
            .filter { it.kind in AIMS && it.jobClass != null }
            .groupBy { it.jobClass!! }

    private class Claim(
        val job: Job,
        /** When it should be done, time of day in milliseconds; ascending, the passed ones left out. */
        val dues: List<Double>,
        /** The first of them that hardly any job may miss. */
        val strictDue: Double?,
        val workS: Double,
        val leastS: Double,
    )

    fun sorted(
        waiting: List<Job>,
        wallMs: Long,
    ): List<Job> {
        val guaranteed = guaranteed()
        val order = ArrayList<Job>(waiting.size)
        for ((_, sameRank) in waiting.groupBy(::rank).toSortedMap()) {
            val (services, arrays) = sameRank.partition { it.spec.shape == Shape.SERVICE }
            order.addAll(services.sortedWith(compareBy({ it.acceptedAtMs }, { it.spec.id })))
            val (within, beyond) = arrays.partition { it.spec.id in guaranteed }
            order.addAll(byAims(within, wallMs))
            order.addAll(byAims(beyond, wallMs))
        }
        return order
    }

    /**
     * The priority by which a job is ordered. An array of idle priority whose class has an aim of its own goes with the normal
     * ones: in a pipeline whose last job is not submitted yet, nothing else says that somebody waits for it.
     */
    private fun rank(job: Job): Priority {
        val expected = job.spec.shape == Shape.ARRAY && job.spec.jobClass in aims
        return if (job.priority == Priority.IDLE && expected) Priority.NORMAL else job.priority
    }

    /** Ids of jobs that, with their team's earlier unfinished ones, fit into the team's guarantee. */
    fun guaranteed(): Set<String> {
        val found = HashSet<String>()
        val used = HashMap<String, DoubleArray>()
        for (job in cluster.jobs.values
            .filter { it.ready }
            .sortedBy { it.readySinceMs }) {
            val team = cluster.quotas.team(job.spec.team) ?: continue
            if (job.cancelled || job.health == JobHealth.SUSPECT || (team.cpus <= 0 && team.gpus <= 0)) continue
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
     *
     * What is put off so would be put off again and again while demand stays high, until it has missed even the aims that
     * hardly any job may miss. So a job that must start now to meet its next strict aim goes before all others.
     */
    private fun byAims(
        jobs: List<Job>,
        wallMs: Long,
    ): List<Job> {
        if (jobs.size < 2) return jobs
        val capacity = maxOf(1.0, arrayCapacity())
        val (deadlineCritical, rest) = jobs.map { claim(it, wallMs) }.partition { isDeadlineCritical(it, capacity, wallMs) }
        val (boosted, late) = goAhead(deadlineCritical, capacity, wallMs)
        val chosen = ArrayList<Job>()
        boosted.mapTo(chosen) { it.job }
        var open = rest + late
        var loadS = boosted.sumOf { it.workS }
        var level = 0
        while (open.any { it.dues.size > level } && level < MAX_LEVELS) {
            val (with, without) = open.partition { it.dues.size > level }
            val at = level
            val (accepted, putOff) = feasible(with, loadS, capacity, wallMs) { it.dues[at] }
            loadS += accepted.sumOf { it.workS }
            chosen.addAll(accepted.sortedWith(compareBy<Claim> { it.workS * (it.dues[at] - wallMs) }.thenBy { it.job.spec.id }).map { it.job })
            open = putOff + without
            level++
        }
        return chosen + open.sortedWith(LEAST_WORK).map { it.job }
    }

    /** As many of [claims] as can be done by their [due] after work of [loadS], and those put off. */
    private inline fun feasible(
        claims: List<Claim>,
        loadS: Double,
        capacity: Double,
        wallMs: Long,
        crossinline due: (Claim) -> Double,
    ): Pair<Collection<Claim>, List<Claim>> {
        val accepted = PriorityQueue<Claim>(compareByDescending { it.workS })
        val putOff = ArrayList<Claim>()
        var sumS = loadS
        for (c in claims.sortedWith(compareBy({ due(it) }, { it.job.spec.id }))) {
            accepted.add(c)
            sumS += c.workS
            val endsMs = wallMs + maxOf(sumS / capacity, c.leastS) * 1000
            if (endsMs > due(c)) {
                val off = if (wallMs + c.leastS * 1000 > due(c)) c.also { accepted.remove(it) } else accepted.poll()
                sumS -= off.workS
                putOff.add(off)
            }
        }
        return accepted to putOff
    }

    /**
     * Of those that press as many as can still be in time, the earliest aim first, for as long as the tasks of all that went
     * ahead hold no more than their share of the CPUs.
     */
    private fun goAhead(
        deadlineCritical: List<Claim>,
        capacity: Double,
        wallMs: Long,
    ): Pair<List<Claim>, List<Claim>> {
        if (deadlineCritical.isEmpty()) return deadlineCritical to deadlineCritical
        val (feasible, late) = feasible(deadlineCritical, 0.0, capacity * PlacementConstants.MAX_BOOSTED_CPU_FRACTION, wallMs) { it.strictDue!! }
        var room = capacity * PlacementConstants.MAX_BOOSTED_CPU_FRACTION
        for (job in cluster.jobs.values) if (job.boosted) room -= job.activeAttempts.size * job.spec.cpus
        val (first, others) =
            feasible.sortedWith(compareBy({ it.strictDue }, { it.job.spec.id })).partition { c ->
                val cpus = c.job.schedulableTasks * c.job.spec.cpus
                (cpus <= room).also { if (it) room -= cpus }
            }
        first.forEach { it.job.boosted = true }
        return first to others + late
    }

    private fun isDeadlineCritical(
        c: Claim,
        capacity: Double,
        wallMs: Long,
    ): Boolean {
        val due = c.strictDue ?: return false
        val needMs = (c.leastS * PlacementConstants.CRITICAL_RUN_FACTOR + c.workS / (capacity * PlacementConstants.CRITICAL_CPU_FRACTION)) * 1000
        return wallMs + needMs + PlacementConstants.CRITICAL_SLACK_MS > due
    }

    /** CPUs of the machines that heartbeat, less those of replicas. */
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
        val least = wallMs + expected * 1000
        val dues = ArrayList<Double>(4)
        var strict: Double? = null
        for (aim in aims[spec.jobClass].orEmpty()) {
            val fromMs = if (aim.kind == DEADLINE) job.acceptedAtMs else job.readySinceMs
            val due = fromMs + (dueS(aim, spec, expected) ?: continue) * 1000
            if (due < least) continue
            dues.add(due)
            if ((aim.targetFraction ?: 0.0) >= PlacementConstants.STRICT_OBJECTIVE_FRACTION && (strict == null || due < strict)) strict = due
        }
        val own = if (aims[spec.jobClass].orEmpty().any { it.kind == DEADLINE }) null else spec.deadlineS
        val other = own ?: if (spec.jobClass in aims) null else DEFAULT_DUE_S + expected
        other?.let { job.readySinceMs + it * 1000 }?.takeIf { it >= least }?.let { dues.add(it) }
        job.inheritedDueMs?.takeIf { it >= least }?.let { dues.add(it) }
        dues.sort()
        val left = maxOf(0.0, job.demand - job.activeAttempts.size / 2.0)
        return Claim(job, dues, strict, left * spec.cpus * expected, expected)
    }

    /** Seconds from its acceptance in which a job of [spec] must be done to meet [aim]; its last task starts a run before. */
    private fun dueS(
        aim: Objective,
        spec: JobSpec,
        expectedS: Double,
    ): Double? =
        when (aim.kind) {
            "finished" -> aim.withinS
            DEADLINE -> spec.deadlineS?.let { it * (aim.times ?: 1.0) }
            "wait" -> aim.withinS?.let { it + expectedS }
            else -> null
        }

    private companion object {
        val LEAST_WORK = compareBy<Claim> { it.workS }.thenBy { it.job.spec.id }

        const val DEADLINE = "deadline"
        val AIMS = setOf("finished", DEADLINE, "wait")

        /** Seconds; jobs without an aim of their own are ordered as if they had this one. */
        const val DEFAULT_DUE_S = 120.0
        const val EPSILON = 1e-6

        /** Aims one class may have before the later ones are not looked at. */
        const val MAX_LEVELS = 5
    }
}
