package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.constants.TimeUnits
import mintfield.core.fleet.Machine
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job

/** Stops work of lower priority to make room for a task, where the least work is lost. */
internal class Preemption(
    private val cluster: Cluster,
) {
    /** Makes room for one task of [job] on one of [candidates] and returns that machine, or null if none can make enough room. */
    fun makeRoom(
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
        chosen.forEach { cluster.stop(it, nowMs, "room for ${job.spec.id} of priority ${job.preemptionPriority}") }
        return machine
    }

    /** CPU seconds since the last change of [attempt]'s state: the work that is lost with it. */
    private fun lostCpuS(
        attempt: Attempt,
        nowMs: Long,
    ) = (nowMs - attempt.changedAtMs) / TimeUnits.MS_PER_SECOND.toDouble() * attempt.job.spec.cpus

    /**
     * The attempts on [machine] to stop for a task of [job], those that changed last first; null if they are none or not enough. The room
     * of attempts that are being stopped already belongs to those for which they are stopped.
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
        /** Cost of each worse [ImageRank], in CPU seconds of lost work. */
        const val IMAGE_RANK_COST = 30.0

        val PREEMPTIBLE = setOf(AttemptState.STARTING, AttemptState.PULLING, AttemptState.RUNNING)
    }
}
