package mintfield.core.placement

import mintfield.core.Cluster
import mintfield.core.jobs.Job
import mintfield.core.model.Shape

/** The order in which waiting jobs are served: priority, guarantee, then the earliest aim that can still be met. */
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

    private class Keyed(
        val job: Job,
        val lost: Int,
        val dueMs: Double,
    )

    fun sorted(
        waiting: List<Job>,
        wallMs: Long,
    ): List<Job> =
        waiting
            .map { keyed(it, wallMs) }
            .sortedWith(
                compareBy<Keyed> { it.job.spec.priority }
                    .thenBy { if (it.job.spec.shape == Shape.SERVICE) 0 else 1 }
                    .thenBy { it.lost }
                    .thenBy { it.dueMs }
                    .thenBy { it.job.spec.id },
            ).map { it.job }

    private fun keyed(
        job: Job,
        wallMs: Long,
    ): Keyed {
        val spec = job.spec
        val leastMs = spec.estimateS * 1000
        val dues = ArrayList<Double>()
        finishAims[spec.jobClass]?.forEach { dues.add(job.acceptedAtMs + it * 1000) }
        spec.deadlineS?.let { d -> (deadlineAims[spec.jobClass] ?: listOf(1.0)).forEach { dues.add(job.acceptedAtMs + d * it * 1000) } }
        if (dues.isEmpty()) return Keyed(job, 0, job.acceptedAtMs + DEFAULT_DUE_MS + leastMs)
        val next = dues.sorted().firstOrNull { wallMs + leastMs < it }
        // What can meet none of its aims any more yields to what can.
        return if (next != null) Keyed(job, 0, next) else Keyed(job, 1, dues.max())
    }

    private companion object {
        /** Milliseconds; jobs without an aim of their own are ordered as if they had this one. */
        const val DEFAULT_DUE_MS = 120_000.0
    }
}
