package mintfield.sim

import mintfield.Fixtures
import mintfield.core.CloudCall
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.MachineStage
import mintfield.core.model.TaskId

/** A simulated cloud and the workers on its machines. Some calls fail, and its listings may be incomplete. */
class SimulatedCloud(
    private val context: SimulationContext,
    private val extraRunTimeMs: Long,
    private val onStart: (SimWorker, TaskId) -> Unit,
) {
    private val workersById = LinkedHashMap<String, SimWorker>()
    private val provisionedByKey = HashMap<String, List<String>>()

    /** The workers of all machines, including released ones, in the order of provisioning. */
    val workers: Collection<SimWorker> get() = workersById.values

    /** The worker of machine [id], which must exist. */
    fun worker(id: String): SimWorker = workersById.getValue(id)

    /** Provisions a machine and returns its id. */
    fun addMachine(
        zone: String,
        spot: Boolean,
    ): String {
        val id = "m-%06d".format(workersById.size)
        workersById[id] = SimWorker(id, zone, spot, context.nowMs, LEASE_MS, extraRunTimeMs, onStart = onStart)
        return id
    }

    /** Lists the machines that are alive; each is missing with a probability of 0.1. */
    fun listing(): List<ListedMachine> =
        workers
            .filter { it.alive && context.chance(0.9) }
            .map { ListedMachine(it.id, "box", it.zone, it.spot, MachineStage.RUNNING, 60.0) }

    /** Performs [call] and passes the result to [leader] immediately. */
    fun perform(
        leader: SimulatedLeader,
        call: CloudCall,
    ) {
        val fleet = leader.scheduler.fleet
        val nowMs = context.nowMs
        if (context.chance(0.1)) return fleet.failed(call, nowMs)
        when (call) {
            is CloudCall.Provision -> {
                val ids = provisionedByKey.getOrPut(call.intent.idempotencyKey) { provision(call.intent.zone, call.intent.spot) }
                if (ids.isEmpty()) fleet.noCapacity(call.intent, nowMs) else fleet.provisioned(call.intent, ids, nowMs)
            }
            is CloudCall.Release -> {
                call.machines.forEach { workersById[it]?.alive = false }
                if (context.chance(0.2)) fleet.failed(call, nowMs) else fleet.released(call.machines, nowMs)
            }
            is CloudCall.ListPage -> fleet.machinesListed(listing(), false, nowMs)
            CloudCall.Types -> fleet.machineTypesRead(listOf(Fixtures.box), nowMs)
        }
    }

    private fun provision(
        zone: String,
        spot: Boolean,
    ): List<String> = if (workers.count { it.alive } < MAX_MACHINES) listOf(addMachine(zone, spot)) else emptyList()

    private companion object {
        /** Duration of a worker's lease in milliseconds. */
        const val LEASE_MS = 10_000L

        /** Provisioning fails while at least this number of machines are alive. */
        const val MAX_MACHINES = 10
    }
}
