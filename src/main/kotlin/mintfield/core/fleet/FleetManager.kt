package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType

/**
 * The leader's view of the cloud: decides what to provision and what to release, says which call to make next, and takes in the answers.
 * Used on the leader's event loop only; times are steady milliseconds.
 */
class FleetManager(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private val releasedMachines = ReleasedMachines()
    private val releases = MachineReleases(cluster, releasedMachines, log)

    /** The machines of this leader, and the changes of their description and owner. */
    val registry = MachineRegistry(cluster, releasedMachines)

    /** How long machines took to boot lately. */
    val bootTimes = BootTimes()
    private val listing = CloudListing(cluster, registry, releases, releasedMachines)
    private val sizing = FleetSizing(cluster, bootTimes, releases, log)
    private val watch = MachineWatch(cluster, releases, listing)
    private var typesReadAtMs = Machine.NEVER
    private var pausedUntilMs = Machine.NEVER

    /** Scale-out requests that are written and to be carried out, by idempotency key. */
    val intents = LinkedHashMap<String, ScaleOutIntent>()

    /** Idempotency keys of requests that are settled and whose records are to be deleted. */
    val completedIntents = ArrayDeque<String>()

    /** Scale-out requests that are wanted; to be written as intents before they are carried out. */
    val wantedIntents: ArrayDeque<ScaleOutIntent> get() = sizing.wantedIntents

    /** Machines that the cloud lists and that have no owner, with the moment at which each was first seen so. */
    val ownerless: MutableMap<String, Long> get() = listing.ownerless

    /** Called with the name of each machine that is certainly gone. */
    var onReleased: (String) -> Unit = {}

    /** Called with what was provisioned for an intent before it is used; returns whether it may be used at once. */
    var onProvisioned: (ScaleOutIntent, List<String>) -> Boolean = { _, _ -> true }

    /** The catalogue of machine types was read. */
    fun typesRead(
        types: List<MachineType>,
        nowMs: Long,
    ) {
        typesReadAtMs = nowMs
        types.forEach { cluster.types[it.name] = it }
    }

    /** The next call to the cloud, the most urgent first; null if there is nothing to do now. */
    fun nextCall(nowMs: Long): CloudCall? {
        if (nowMs < pausedUntilMs) return null
        val toRelease = releases.nextBatch(nowMs)
        val intent = intents.values.firstOrNull()
        return when {
            toRelease.isNotEmpty() -> CloudCall.Release(toRelease)
            !listing.hasCompleted -> listing.nextPage()
            intent != null -> CloudCall.Provision(intent)
            listing.isDue(nowMs) -> listing.nextPage()
            nowMs - typesReadAtMs >= FleetConstants.CATALOGUE_INTERVAL_MS -> CloudCall.Types
            else -> null
        }
    }

    /** The cloud did not carry out [call], or did not answer it: it is made again after a pause. */
    fun failed(
        call: CloudCall,
        nowMs: Long,
    ) {
        pausedUntilMs = nowMs + FleetConstants.CLOUD_RETRY_MS
        if (call is CloudCall.Release) releases.failed(call.machines, nowMs)
    }

    /** A page of the cloud's list was read; [hasNext] says whether others follow it. */
    fun listed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) = listing.pageRead(page, hasNext, nowMs)

    /** Milliseconds after which a list must show what there is, at the latest. */
    fun listLagMs(): Long = listing.lagMs()

    /** The cloud has provisioned the machines [ids] for [intent], perhaps fewer than it asked for. */
    fun provisioned(
        intent: ScaleOutIntent,
        ids: List<String>,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        if (onProvisioned(intent, ids)) {
            completedIntents.add(intent.idempotencyKey)
            ids.forEach { registry.machine(it, intent.type, intent.zone, intent.spot, nowMs) }
        }
        log("provisioned ${ids.size} of ${intent.number} ${intent.type} in ${intent.zone}${if (intent.spot) ", spot" else ""}: $ids")
        if (ids.isNotEmpty()) sizing.granted(intent)
        if (ids.size < intent.number) sizing.refused(intent, nowMs)
    }

    /** The cloud has no capacity for [intent]. */
    fun noCapacity(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        completedIntents.add(intent.idempotencyKey)
        sizing.refused(intent, nowMs)
    }

    /** The cloud has confirmed that the machines [ids] and everything on them are gone. */
    fun released(
        ids: List<String>,
        nowMs: Long,
    ) {
        for (id in ids) {
            val machine = releases.confirmed(id, nowMs) ?: continue
            sizing.capacityFreed(machine)
            onReleased(id)
        }
    }

    /** Decides that [machine] is to be released, for [reason]. */
    fun scheduleRelease(
        machine: Machine,
        nowMs: Long,
        reason: String,
    ) = releases.schedule(machine, nowMs, reason)

    /** The machine [id] is another shard's from now on; tasks that are planned there stay until its owner has answered for them. */
    fun handedOver(
        id: String,
        nowMs: Long,
    ) {
        if (registry.handOver(id, nowMs)) sizing.forget(id)
    }

    /** Applies the time limits of each machine; to be called every [mintfield.core.constants.PlacementConstants.TICK_INTERVAL_MS]. */
    fun tick(nowMs: Long) = watch.check(nowMs)

    /** Whether the lease that [machine] had from this leader has certainly expired. */
    fun leaseExpired(
        machine: Machine,
        nowMs: Long,
    ): Boolean = watch.leaseExpired(machine, nowMs)

    /** Compares demand with capacity, once that is known and no earlier request is under way. */
    fun size(nowMs: Long) {
        if (listing.hasCompleted && wantedIntents.isEmpty() && intents.isEmpty() && cluster.ownership.claiming == 0) sizing.resize(nowMs)
    }

    /** Number of machines that are overdue to come up. */
    fun overdueCount(nowMs: Long): Int = sizing.overdueCount(nowMs)
}
