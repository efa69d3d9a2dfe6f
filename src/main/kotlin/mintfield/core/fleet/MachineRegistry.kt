package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.jobs.AttemptState
import mintfield.core.model.MachineType

/** Adds machines to the cluster, describes them anew, and follows the changes of their owner. */
class MachineRegistry(
    private val cluster: Cluster,
    private val released: ReleasedMachines,
) {
    /** Steady milliseconds of their adoption, by name, of machines that nothing has described yet. */
    private val adoptedAtMs = HashMap<String, Long>()

    /**
     * The machine [id], added by this description if it is not known. Null if it cannot be this leader's: it is released, another
     * owner's, or of a type that the catalogue does not have.
     */
    fun machine(
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
        machine.origin.seenSince(nowMs)
        adoptedAtMs.remove(id)?.let { machine.origin.adopted(it) }
        machine.lease.own(cluster.firstTerm, cluster.ownership.epoch(id))
        cluster.machines[id] = machine
        return machine
    }

    /** Adds a machine of another shard on which a recorded plan has tasks; its [type] is a guess that nothing relies on. */
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
     * The machine [id] is another shard's from now on. Tasks that are planned there stay so until its owner has answered for them.
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
     * The machine [id] is this leader's from now on. Its former owner may have renewed its lease until this moment, and the former
     * owner's starts are void only once the worker has seen this leader's token.
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
        machine.origin.seenSince(nowMs)
        machine.origin.adopted(nowMs)
        machine.heartbeats.discardLatest()
        machine.occupancy.markReconciled(false)
    }

    /**
     * The assignment table says that the machine [id] is this leader's, and nothing has described it yet. It counts as one in use until
     * the cloud's list or a heartbeat shows more; if neither comes, it is released, which proves that it is gone.
     */
    fun assume(
        id: String,
        nowMs: Long,
    ) {
        val type = cluster.types.values.firstOrNull() ?: return
        val zone = type.zones.firstOrNull() ?: return
        val machine = machine(id, type.name, zone, spot = false, nowMs) ?: return
        machine.origin.markProvisional()
        machine.origin.adopted(nowMs)
    }

    /** The machine [id], which this leader has provisioned by [intent], has become its own. Without the intent the list will describe it. */
    fun claimed(
        id: String,
        intent: ScaleOutIntent?,
        nowMs: Long,
    ) {
        if (intent != null) machine(id, intent.type, intent.zone, intent.spot, nowMs)
    }

    /**
     * Replaces [old], whose description was a guess, by a machine of the true description with the same attempts. Returns [old] if it
     * has to stay as it is, null if it cannot be this leader's.
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
        val machine = machine(old.id, typeName, zone, spot, nowMs) ?: return null
        machine.origin.adopted(old.origin.adoptedAtMs)
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
            if (state != AttemptState.PLANNING) moved.moveTo(AttemptState.PLANNED, nowMs)
            if (state == AttemptState.STOPPING) moved.moveTo(AttemptState.STOPPING, nowMs)
        }
    }
}
