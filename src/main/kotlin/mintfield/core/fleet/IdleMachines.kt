package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.constants.FleetConstants

/** Since when machines have been idle, and which of them may be released for it. */
internal class IdleMachines(
    private val cluster: Cluster,
    private val releases: MachineReleases,
) {
    /** Steady milliseconds by name of machine. */
    private val idleSinceMs = HashMap<String, Long>()

    /** The machine [id] is not this leader's any more. */
    fun forget(id: String) {
        idleSinceMs.remove(id)
    }

    /** All capacity is needed: no machine has been idle so far. */
    fun clear() = idleSinceMs.clear()

    /** Releases at most one machine that has been idle for long and has no more than the [spareCpus] that nothing needs. */
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
