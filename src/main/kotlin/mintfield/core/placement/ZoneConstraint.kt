package mintfield.core.placement

import mintfield.core.fleet.Machine
import mintfield.core.jobs.Job

/** Which zones a job's next task may go to, given where its others are. */
class ZoneConstraint(
    private val job: Job,
    open: List<Machine>,
) {
    private val spec = job.spec
    private val counts = HashMap<String, Int>()
    private val only: String?

    /** A task of the job may be in any zone: its machine is known by name only. */
    private val unsure = (spec.oneZone || spec.spread) && job.activeAttempts.any { it.machine.provisional }

    init {
        job.activeAttempts.forEach { counts.merge(it.machine.zone, 1, Int::plus) }
        only =
            when {
                spec.zone != null -> spec.zone
                !spec.oneZone -> null
                counts.isNotEmpty() -> counts.keys.first()
                else -> roomiest(open)
            }
    }

    private fun roomiest(open: List<Machine>): String? =
        open
            .filter { (!it.spot || spec.spot) && it.type.name in job.compatibleTypes }
            .groupBy { it.zone }
            .maxByOrNull { (_, ms) -> ms.sumOf { Math.floor(it.freeCpus / maxOf(spec.cpus, 1e-6)) } }
            ?.key

    fun allows(zone: String): Boolean {
        if (unsure || (only != null && zone != only)) return false
        return !spec.spread || (counts[zone] ?: 0) < (spec.tasks + 1) / 2
    }

    fun placed(zone: String) {
        counts.merge(zone, 1, Int::plus)
    }
}
