package mintfield.core.placement

import mintfield.core.model.JobSpec

/** Tolerance for rounding errors in sums of fractions. */
private const val EPSILON = 1e-6

/** Number of tasks of [spec] that fit on the given resources, at most the number of tasks of the job. */
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
