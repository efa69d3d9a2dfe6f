package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType

/**
 * The leader's view of the cloud: decides what to provision and release, chooses the next cloud call, and processes the responses.
 * Used on the leader's event loop only; times are in milliseconds of monotonic time.
 */
class FleetManager(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    private val releasedMachines = ReleasedMachines()
    private val releases = MachineReleases(cluster, releasedMachines, log)

    /** Registry of this leader's machines, which tracks changes of their description and owner. */
    val registry = MachineRegistry(cluster, releasedMachines)

    /** Recent boot times, from which overdue machines are determined. */
    val bootTimes = BootTimes()
    private val listing = CloudListing(cluster, registry, releases, releasedMachines)
    private val sizing = FleetSizing(cluster, bootTimes, releases, log)
    private val watch = MachineWatch(cluster, releases, listing)
    private var typesReadAtMs = Machine.NEVER
    private var pausedUntilMs = Machine.NEVER

    /** Scale-out requests that are recorded in the store and not yet carried out, by idempotency key. */
    val intents = LinkedHashMap<String, ScaleOutIntent>()

    /** Idempotency keys of completed requests whose records are to be deleted from the store. */
    val completedIntents = ArrayDeque<String>()

    /** Scale-out requests that must be recorded as intents in the store before they are carried out. */
    val unrecordedIntents: ArrayDeque<ScaleOutIntent> get() = sizing.unrecordedIntents

    /** Machines that the cloud lists and that have no owner, with the time at which each was first seen without one. */
    val unowned: MutableMap<String, Long> get() = listing.unowned

    /** Called with the name of each machine whose release the cloud has confirmed. */
    var onReleased: (String) -> Unit = {}

    /** Called with an intent and the machines provisioned for it, before they are used; returns whether they may be used at once. */
    var onProvisioned: (ScaleOutIntent, List<String>) -> Boolean = { _, _ -> true }

    /** Replaces or adds the machine [types] that were read from the cloud's catalogue. */
    fun machineTypesRead(
        types: List<MachineType>,
        nowMs: Long,
    ) {
        typesReadAtMs = nowMs
        types.forEach { cluster.types[it.name] = it }
    }

    /** Returns the most urgent cloud call to make at [nowMs], or null if there is none. */
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

    /** Handles a failed or unanswered [call]: it is repeated after a pause. */
    fun failed(
        call: CloudCall,
        nowMs: Long,
    ) {
        pausedUntilMs = nowMs + FleetConstants.CLOUD_RETRY_MS
        if (call is CloudCall.Release) releases.failed(call.machines, nowMs)
    }

    /** Processes [page] of the cloud's list; [hasNext] is false for the last page. */
    fun machinesListed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) = listing.pageRead(page, hasNext, nowMs)

    /** Longest time in milliseconds until a machine that exists appears in a read of the list. */
    fun maxListLagMs(): Long = listing.maxLagMs()

    /** Handles the response to [intent]: the cloud has provisioned the machines [ids], perhaps fewer than requested. */
    fun provisioned(
        intent: ScaleOutIntent,
        ids: List<String>,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        if (onProvisioned(intent, ids)) {
            completedIntents.add(intent.idempotencyKey)
            ids.forEach { registry.getOrAdd(it, intent.type, intent.zone, intent.spot, nowMs) }
        }
        log("provisioned ${ids.size} of ${intent.number} ${intent.type} in ${intent.zone}${if (intent.spot) ", spot" else ""}: $ids")
        if (ids.isNotEmpty()) sizing.granted(intent)
        if (ids.size < intent.number) sizing.refused(intent, nowMs)
    }

    /** Handles a response that the cloud has no capacity for [intent]. */
    fun noCapacity(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        completedIntents.add(intent.idempotencyKey)
        sizing.refused(intent, nowMs)
    }

    /** Handles the cloud's confirmation that the machines [ids] are released and everything on them has ended. */
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

    /** Schedules the release of [machine]; [reason] is logged. */
    fun scheduleRelease(
        machine: Machine,
        nowMs: Long,
        reason: String,
    ) = releases.schedule(machine, nowMs, reason)

    /** Hands the machine [id] over to another shard; tasks that are planned there remain until the new owner has reported on them. */
    fun handedOver(
        id: String,
        nowMs: Long,
    ) {
        if (registry.handOver(id, nowMs)) sizing.forget(id)
    }

    /** Applies the time limits of all machines; to be called every [mintfield.core.constants.PlacementConstants.TICK_INTERVAL_MS]. */
    fun tick(nowMs: Long) = watch.check(nowMs)

    /** Whether the lease that this leader granted to [machine] is known to have expired. */
    fun leaseExpired(
        machine: Machine,
        nowMs: Long,
    ): Boolean = watch.leaseExpired(machine, nowMs)

    /** Scales the fleet to the demand. Does nothing until the list has been read and all earlier requests are completed. */
    fun resize(nowMs: Long) {
        if (listing.hasCompleted && unrecordedIntents.isEmpty() && intents.isEmpty() && cluster.ownership.pendingClaimCount == 0) sizing.resize(nowMs)
    }

    /** Number of machines whose boot is overdue. */
    fun overdueCount(nowMs: Long): Int = sizing.overdueCount(nowMs)
}
