package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/** The owner's side of foreign tasks: reports to leaders of other shards the state of their tasks on machines of this shard. */
class ForeignTaskResponder(
    private val scheduler: Scheduler,
) {
    private val cluster = scheduler.cluster

    /** Returns the response to [query], and records the requested stops and acknowledgements for the machine's next heartbeat. */
    fun respond(
        query: ForeignTaskQuery,
        nowMs: Long,
    ): ForeignTaskResponse {
        val machine = ownedMachine(query.machine)
        return when {
            machine == null -> ForeignTaskResponse.NotOwner
            !cluster.hasSeenOurToken(machine) || machine.lastHeartbeat == null -> ForeignTaskResponse.NoHeartbeatYet
            scheduler.fleet.leaseExpired(machine, nowMs) -> ForeignTaskResponse.Status(emptyList())
            else -> {
                recordActions(machine, query.tasks)
                status(machine, query.tasks)
            }
        }
    }

    private fun ownedMachine(id: String): Machine? = cluster.machines[id]?.takeIf { it.state != MachineState.OWNED_ELSEWHERE && cluster.ownership.owns(id) }

    private fun recordActions(
        machine: Machine,
        refs: List<ForeignTaskRef>,
    ) {
        for (ref in refs) {
            val foreignTask = machine.foreignTasks[ref.task]?.takeIf { it.status.attempt == ref.attempt } ?: continue
            if (ref.action == ForeignTaskRef.Action.STOP) foreignTask.requestStop()
            if (ref.action == ForeignTaskRef.Action.ACKNOWLEDGE) foreignTask.requestAcknowledge()
            machine.occupancy.markReconciled(false)
        }
    }

    private fun status(
        machine: Machine,
        refs: List<ForeignTaskRef>,
    ): ForeignTaskResponse.Status {
        val attemptByTask = refs.associate { it.task to it.attempt }
        val reported = machine.lastHeartbeat?.tasks.orEmpty()
        return ForeignTaskResponse.Status(reported.filter { attemptByTask[it.task] == it.attempt })
    }
}
