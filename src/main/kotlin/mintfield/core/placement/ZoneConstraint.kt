package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job

/** The zones in which the next task of [job] may be placed, given the zones of its other tasks. */
class ZoneConstraint(
    private val job: Job,
    openMachines: List<Machine>,
) {
    private val spec = job.spec
    private val tasksByZone = HashMap<String, Int>()

    /** The only zone that is allowed; null if all zones are. */
    private val onlyZone: String?

    /**
     * Whether the zone of one of the job's tasks is unknown, because only the name of its machine is known. No zone is allowed then, as each
     * could violate the constraint.
     */
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

    /** The zone in which most tasks fit on the free resources; of several, the one with most free CPUs, as tasks there may be preempted. */
    private fun zoneWithMostCapacity(openMachines: List<Machine>): String? =
        openMachines
            .filter { (!it.spot || spec.spot) && it.type.name in job.compatibleTypes }
            .groupBy { it.zone }
            .maxWithOrNull(compareBy({ (_, machines) -> machines.sumOf(::taskCapacity) }, { (_, machines) -> machines.sumOf { it.freeCpus } }))
            ?.key

    private fun taskCapacity(machine: Machine): Int = taskCapacity(spec, machine.freeCpus, machine.freeGpus, machine.freeMemoryGb)

    /** Whether the next task may be placed in [zone]. A job with spread tasks has at most half of them, rounded up, in one zone. */
    fun allows(zone: String): Boolean {
        if (zoneUnknown || (onlyZone != null && zone != onlyZone)) return false
        return !spec.spread || (tasksByZone[zone] ?: 0) < (spec.tasks + 1) / 2
    }

    /** Records that a task has been planned in [zone]. */
    fun recordPlaced(zone: String) {
        tasksByZone.merge(zone, 1, Int::plus)
    }
}
