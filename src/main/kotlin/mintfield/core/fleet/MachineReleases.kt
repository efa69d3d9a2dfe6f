package mintfield.core.fleet

import mintfield.core.Cluster

/** Tracks machines from the decision to release them until the cloud has confirmed the release. */
class MachineReleases(
    private val cluster: Cluster,
    private val released: ReleasedMachines,
    private val log: (String) -> Unit,
) {
    /** Schedules the release of [machine] and logs [reason]; does nothing if it is already being released. */
    fun schedule(
        machine: Machine,
        nowMs: Long,
        reason: String,
    ) {
        if (machine.state == MachineState.RELEASING || machine.state == MachineState.TERMINATING) return
        val kind = if (machine.spot) ", spot" else ""
        log("releasing ${machine.id} (${machine.type.name}, ${machine.zone}$kind) with ${machine.attempts.size} tasks: $reason")
        machine.moveTo(MachineState.RELEASING, nowMs)
    }

    /** Returns the machines to name in the next release call, and marks them as terminating. */
    fun nextBatch(nowMs: Long): List<String> {
        val batch =
            cluster.machines.values
                .filter { it.state == MachineState.RELEASING }
                .take(MAX_BATCH)
        batch.forEach { it.moveTo(MachineState.TERMINATING, nowMs) }
        return batch.map { it.id }
    }

    /** Handles a failed release call for [ids]: the machines become due for release again. */
    fun failed(
        ids: List<String>,
        nowMs: Long,
    ) {
        for (id in ids) {
            val machine = cluster.machines[id] ?: continue
            if (machine.state == MachineState.TERMINATING) machine.moveTo(MachineState.RELEASING, nowMs)
        }
    }

    /** Handles the cloud's confirmation that the machine [id] is released and everything on it has ended. Returns the machine, null if unknown. */
    fun confirmed(
        id: String,
        nowMs: Long,
    ): Machine? {
        val machine = cluster.machines.remove(id) ?: return null
        machine.attempts.toList().forEach { cluster.release(it, nowMs, "${machine.id} was released") }
        machine.moveTo(MachineState.TERMINATED, nowMs)
        released.add(id, nowMs)
        return machine
    }

    private companion object {
        /** Maximum number of machines in one release call, set by the cloud protocol. */
        const val MAX_BATCH = 100
    }
}
