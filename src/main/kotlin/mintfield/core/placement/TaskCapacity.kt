package mintfield.core.placement

import mintfield.core.model.JobSpec

/** Tolerance for sums of fractions. */
private const val EPSILON = 1e-6

/** How many tasks of [spec] the given resources hold; never more than the job has. */
internal fun taskCapacity(
    spec: JobSpec,
    cpus: Double,
    gpus: Double,
    memoryGb: Double,
): Int {
    var tasks = Math.floor(memoryGb / maxOf(spec.memoryGb, EPSILON))
    if (spec.cpus > 0) tasks = minOf(tasks, Math.floor(cpus / spec.cpus + EPSILON))
    if (spec.gpus > 0) tasks = minOf(tasks, Math.floor(gpus / spec.gpus + EPSILON))
    return maxOf(0.0, tasks).toInt().coerceAtMost(spec.tasks)
}
