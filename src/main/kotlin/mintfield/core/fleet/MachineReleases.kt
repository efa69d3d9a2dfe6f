package mintfield.core.fleet

import mintfield.core.Cluster

/** Follows machines from the decision to release them until the cloud has confirmed that they are gone. */
class MachineReleases(
    private val cluster: Cluster,
    private val released: ReleasedMachines,
    private val log: (String) -> Unit,
) {
    /** Decides that [machine] is to be released, for [reason]; nothing changes if that is decided already. */
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

    /** Names of machines that the cloud is to be asked to release now; from here on they count as asked for. */
    fun nextBatch(nowMs: Long): List<String> {
        val batch =
            cluster.machines.values
                .filter { it.state == MachineState.RELEASING }
                .take(MAX_BATCH)
        batch.forEach { it.moveTo(MachineState.TERMINATING, nowMs) }
        return batch.map { it.id }
    }

    /** The cloud has not carried out the release of [ids]: it is to be asked again. */
    fun failed(
        ids: List<String>,
        nowMs: Long,
    ) {
        for (id in ids) {
            val machine = cluster.machines[id] ?: continue
            if (machine.state == MachineState.TERMINATING) machine.moveTo(MachineState.RELEASING, nowMs)
        }
    }

    /** The cloud has confirmed that the machine [id] and everything on it are gone. Returns the machine, or null if it is not known. */
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
        /** Machines in one release call; the protocol's bound. */
        const val MAX_BATCH = 100
    }
}
