package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants

/** Tracks how long machines have been idle and releases those that the demand does not need. */
internal class IdleMachines(
    private val cluster: Cluster,
    private val releases: MachineReleases,
) {
    /** Start of the idle time by machine name, in milliseconds of monotonic time. */
    private val idleSinceMs = HashMap<String, Long>()

    /** Forgets the idle time of the machine [id], which this leader no longer owns. */
    fun forget(id: String) {
        idleSinceMs.remove(id)
    }

    /** Restarts the idle time of all machines; called when all capacity is needed. */
    fun clear() = idleSinceMs.clear()

    /** Releases at most one machine that has been idle beyond the limit and has no more than [spareCpus] CPUs, those in excess of demand. */
    fun releaseOne(
        nowMs: Long,
        spareCpus: Double,
    ) {
        if (!cluster.ownership.mayReleaseIdle) return
        val limitMs = if (cluster.jobs.isEmpty()) FleetConstants.IDLE_RELEASE_WITHOUT_JOBS_MS else cluster.settings.operator.idleReleaseMs
        for (machine in cluster.machines.values) {
            if (machine.inUse || machine.state != MachineState.UP || machine.type.cpus > spareCpus) {
                idleSinceMs.remove(machine.id)
                continue
            }
            val sinceMs = idleSinceMs.getOrPut(machine.id) { nowMs }
            if (nowMs - sinceMs > limitMs) {
                idleSinceMs.remove(machine.id)
                return releases.schedule(machine, nowMs, "idle and not needed")
            }
        }
    }
}
