package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState

/** The owner's side of foreign tasks: reports to the leaders of other shards what became of their tasks on this shard's machines. */
class ForeignTaskResponder(
    private val scheduler: Scheduler,
) {
    private val cluster = scheduler.cluster

    /** Answers [query], and notes what is to be stopped or acknowledged with the machine's next heartbeat. */
    fun answer(
        query: ForeignTaskQuery,
        nowMs: Long,
    ): ForeignTaskAnswer {
        val machine = ownedMachine(query.machine)
        return when {
            machine == null -> ForeignTaskAnswer.NotOwner
            !cluster.hasSeenOurToken(machine) || machine.lastHeartbeat == null -> ForeignTaskAnswer.NoHeartbeatYet
            scheduler.fleet.leaseExpired(machine, nowMs) -> ForeignTaskAnswer.Status(emptyList())
            else -> {
                noteActions(machine, query.tasks)
                status(machine, query.tasks)
            }
        }
    }

    private fun ownedMachine(id: String): Machine? = cluster.machines[id]?.takeIf { it.state != MachineState.OWNED_ELSEWHERE && cluster.ownership.owns(id) }

    private fun noteActions(
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
    ): ForeignTaskAnswer.Status {
        val attemptByTask = refs.associate { it.task to it.attempt }
        val reported = machine.lastHeartbeat?.tasks.orEmpty()
        return ForeignTaskAnswer.Status(reported.filter { attemptByTask[it.task] == it.attempt })
    }
}
