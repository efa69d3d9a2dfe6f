package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job

/** The zones that the next task of [job] may go to, given where its other tasks are. */
class ZoneConstraint(
    private val job: Job,
    openMachines: List<Machine>,
) {
    private val spec = job.spec
    private val tasksByZone = HashMap<String, Int>()

    /** The one zone that is allowed; null if any is. */
    private val onlyZone: String?

    /** Whether the zone of one of its tasks is unknown, as its machine is known by name only. Then no zone is safe to choose. */
    private val zoneUnknown = (spec.oneZone || spec.spread) && job.activeAttempts.any { it.machine.provisional }

    init {
        job.activeAttempts.forEach { tasksByZone.merge(it.machine.zone, 1, Int::plus) }
        onlyZone =
            when {
                spec.zone != null -> spec.zone
                !spec.oneZone -> null
                tasksByZone.isNotEmpty() -> tasksByZone.keys.first()
                else -> zoneWithMostCapacity(openMachines)
            }
    }

    private fun zoneWithMostCapacity(openMachines: List<Machine>): String? =
        openMachines
            .filter { (!it.spot || spec.spot) && it.type.name in job.compatibleTypes }
            .groupBy { it.zone }
            .maxByOrNull { (_, machines) -> machines.sumOf { Math.floor(it.freeCpus / maxOf(spec.cpus, MIN_CPUS)) } }
            ?.key

    /** Whether the next task may go to [zone]. A job that is to be spread has no more than half of its tasks, rounded up, in one zone. */
    fun allows(zone: String): Boolean {
        if (zoneUnknown || (onlyZone != null && zone != onlyZone)) return false
        return !spec.spread || (tasksByZone[zone] ?: 0) < (spec.tasks + 1) / 2
    }

    /** A task has been planned in [zone]. */
    fun placed(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }

    private companion object {
        /** Keeps the quotient finite for tasks that need no CPU. */
        const val MIN_CPUS = 1e-6
    }
}
