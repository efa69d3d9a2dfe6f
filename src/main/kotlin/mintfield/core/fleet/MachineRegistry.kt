package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.jobs.AttemptState
import mintfield.core.model.MachineType

/** Adds machines to the cluster, replaces their descriptions, and tracks changes of their owner. */
class MachineRegistry(
    private val cluster: Cluster,
    private val released: ReleasedMachines,
) {
    /** Adoption times of machines without a description yet, by machine name, in milliseconds of monotonic time. */
    private val adoptedAtMs = HashMap<String, Long>()

    /**
     * Returns the machine [id], and adds it with the given description if it is unknown. Null if it cannot be added: it has been released,
     * has another owner, or its type is not in the catalogue.
     */
    fun getOrAdd(
        id: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        nowMs: Long,
    ): Machine? = cluster.machines[id] ?: add(id, typeName, zone, spot, nowMs)

    private fun add(
        id: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        nowMs: Long,
    ): Machine? {
        if (id in released || !cluster.ownership.owns(id)) return null
        val type = cluster.types[typeName] ?: return null
        val machine = Machine(id, type, zone, spot)
        machine.origin.setFirstSeen(nowMs)
        adoptedAtMs.remove(id)?.let { machine.origin.recordAdoption(it) }
        machine.lease.own(cluster.firstTerm, cluster.ownership.epoch(id))
        cluster.machines[id] = machine
        return machine
    }

    /** Adds a machine of another shard on which a recorded plan has tasks; [type] is a guess and is not relied on. */
    fun addOwnedElsewhere(
        id: String,
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Machine {
        val machine = Machine(id, type, zone, spot = false)
        machine.moveTo(MachineState.OWNED_ELSEWHERE, nowMs)
        machine.origin.markProvisional()
        cluster.machines[id] = machine
        return machine
    }

    /**
     * Hands the machine [id] over to another shard. Tasks that are planned there remain until the new owner has reported on them.
     * Returns whether the machine was known.
     */
    fun handOver(
        id: String,
        nowMs: Long,
    ): Boolean {
        val machine = cluster.machines[id] ?: return false
        if (machine.attempts.isEmpty()) cluster.machines.remove(id) else machine.moveTo(MachineState.OWNED_ELSEWHERE, nowMs)
        return true
    }

    /**
     * Adopts the machine [id] from another shard. The former owner may have renewed the lease until now, and its start commands can still
     * take effect until the worker has seen this leader's fencing token.
     */
    fun adopt(
        id: String,
        nowMs: Long,
    ) {
        val machine = cluster.machines[id]
        if (machine == null) {
            adoptedAtMs[id] = nowMs
            return
        }
        if (machine.state != MachineState.OWNED_ELSEWHERE) return
        machine.moveTo(MachineState.PROVISIONING, nowMs)
        machine.lease.adopt(cluster.firstTerm, cluster.ownership.epoch(id), nowMs)
        machine.origin.setFirstSeen(nowMs)
        machine.origin.recordAdoption(nowMs)
        machine.heartbeats.discardLatest()
        machine.occupancy.markReconciled(false)
    }

    /**
     * Adds the machine [id], which the assignment table assigns to this leader and which has no description yet. It counts as in use until
     * the cloud's list or a heartbeat describes it; if neither does, it is released, which proves that it has been terminated.
     */
    fun addProvisional(
        id: String,
        nowMs: Long,
    ) {
        val type = cluster.types.values.firstOrNull() ?: return
        val zone = type.zones.firstOrNull() ?: return
        val machine = getOrAdd(id, type.name, zone, spot = false, nowMs) ?: return
        machine.origin.markProvisional()
        machine.origin.recordAdoption(nowMs)
    }

    /** Adds the claimed machine [id], which this leader has provisioned for [intent]. With a null intent the machine is added once the list has it. */
    fun claimed(
        id: String,
        intent: ScaleOutIntent?,
        nowMs: Long,
    ) {
        if (intent != null) getOrAdd(id, intent.type, intent.zone, intent.spot, nowMs)
    }

    /**
     * Replaces [old], whose description was a guess, by a machine with the actual description and the same attempts. Returns [old] if it
     * cannot be replaced, null if it cannot be added as a machine of this leader.
     */
    fun redescribe(
        old: Machine,
        typeName: String,
        zone: String,
        spot: Boolean,
        nowMs: Long,
    ): Machine? {
        if (typeName !in cluster.types || old.state == MachineState.TERMINATING || !cluster.ownership.owns(old.id)) return old
        cluster.machines.remove(old.id)
        val machine = getOrAdd(old.id, typeName, zone, spot, nowMs) ?: return null
        machine.origin.recordAdoption(old.origin.adoptedAtMs)
        machine.lease.copyFrom(old.lease)
        moveAttempts(old, machine, nowMs)
        return machine
    }

    private fun moveAttempts(
        from: Machine,
        to: Machine,
        nowMs: Long,
    ) {
        for (attempt in from.attempts.toList()) {
            val state = attempt.state
            cluster.release(attempt, nowMs, Cluster.SUPERSEDED)
            val moved = cluster.occupy(attempt.job, attempt.index, attempt.number, to, attempt.incarnation)
            moved.startSent = attempt.startSent
            if (attempt.isUnconfirmed) moved.markUnconfirmed()
            if (state != AttemptState.PLANNING) moved.moveTo(AttemptState.PLANNED, nowMs)
            if (state == AttemptState.STOPPING) moved.moveTo(AttemptState.STOPPING, nowMs)
        }
    }
}
