package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.TimeUnits
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job

/** Stops attempts of lower priority to free capacity for a task, on the machine where the least work is lost. */
internal class Preemption(
    private val cluster: Cluster,
) {
    /** Frees capacity for one task of [job] on one of [candidates]. Returns that machine, or null if preemption frees enough on none of them. */
    fun preemptFor(
        job: Job,
        candidates: List<RankedMachine>,
        nowMs: Long,
    ): Machine? {
        var best: List<Attempt>? = null
        var bestCost = Double.MAX_VALUE
        for (candidate in candidates) {
            val victims = victims(job, candidate.machine) ?: continue
            val cost = victims.sumOf { lostCpuS(it, nowMs) } + candidate.imageRank * IMAGE_RANK_COST
            if (cost < bestCost) {
                best = victims
                bestCost = cost
            }
        }
        val chosen = best ?: return null
        val machine = chosen.first().machine
        chosen.forEach { cluster.stop(it, nowMs, "preempted for ${job.spec.id} of priority ${job.preemptionPriority}") }
        return machine
    }

    /** The work that is lost with [attempt]: its CPU seconds since the last change of its state. */
    private fun lostCpuS(
        attempt: Attempt,
        nowMs: Long,
    ) = (nowMs - attempt.changedAtMs) / TimeUnits.MS_PER_SECOND.toDouble() * attempt.job.spec.cpus

    /**
     * The attempts on [machine] to stop for a task of [job], the most recently changed first; null if there are none or if stopping them
     * does not free enough. Attempts that are being stopped already do not count, as their capacity is reserved for the tasks for which
     * they are stopped.
     */
    private fun victims(
        job: Job,
        machine: Machine,
    ): List<Attempt>? {
        val spec = job.spec
        var cpus = machine.freeCpus
        var gpus = machine.freeGpus
        var memoryGb = machine.freeMemoryGb
        val candidates =
            machine.attempts
                .filter { it.job.priority > job.preemptionPriority && it.state in PREEMPTIBLE }
                .sortedByDescending { it.changedAtMs }
        val chosen = ArrayList<Attempt>()
        for (attempt in candidates) {
            if (cpus >= spec.cpus && gpus >= spec.gpus && memoryGb >= spec.memoryGb) break
            chosen.add(attempt)
            cpus += attempt.job.spec.cpus
            gpus += attempt.job.spec.gpus
            memoryGb += attempt.job.spec.memoryGb
        }
        val enough = cpus >= spec.cpus && gpus >= spec.gpus && memoryGb >= spec.memoryGb
        return chosen.takeIf { enough && it.isNotEmpty() }
    }

    private companion object {
        /** Cost of each increment of [ImageRank], in CPU seconds of lost work. */
        const val IMAGE_RANK_COST = 30.0

        val PREEMPTIBLE = setOf(AttemptState.STARTING, AttemptState.PULLING, AttemptState.RUNNING)
    }
}
