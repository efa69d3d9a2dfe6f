package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.jobs.AttemptState
import mintfield.core.model.MachineType

/** A machine as the cloud lists it. */
data class ListedMachine(
    val id: String,
    val type: String,
    val zone: String,
    val spot: Boolean,
    val stage: String,
    val heldS: Double,
)

/** Decides what to rent and what to return, and follows each machine from the wish to its end. */
class FleetManager(
    private val cluster: Cluster,
    private val log: (String) -> Unit,
) {
    /** Intents that are written, to be carried out. */
    val intents = LinkedHashMap<String, ScaleOutIntent>()
    val completedIntents = ArrayDeque<String>()
    private val gone = ReleasedMachines()
    private var lastListMs = Machine.NEVER
    private var listAfter: String? = null
    private var listing = false

    /** When the first page of the list that is being read came. */
    private var listFromMs = Machine.NEVER
    private var listedOnce = false
    private var lastTypesMs = Machine.NEVER
    private var pausedUntilMs = Machine.NEVER
    val bootTimes = BootTimes()
    private val sizing = FleetSizing(cluster, bootTimes, ::scheduleRelease, log)
    private val watch = MachineWatch(cluster, ::scheduleRelease, ::listLagMs)

    /** Scale-out requests that are wanted; to be written as intents. */
    val wantedIntents get() = sizing.wantedIntents

    /** Told of each machine that is certainly gone. */
    var onReleased: (String) -> Unit = {}

    /** Told of what was provisioned before it is used; true if it may be used at once. */
    var onProvisioned: (ScaleOutIntent, List<String>) -> Boolean = { _, _ -> true }

    fun typesRead(
        types: List<MachineType>,
        nowMs: Long,
    ) {
        lastTypesMs = nowMs
        types.forEach { cluster.types[it.name] = it }
    }

    fun machine(
        id: String,
        typeName: String,
        zone: String,
        spot: Boolean,
        nowMs: Long,
    ): Machine? {
        cluster.machines[id]?.let { return it }
        if (id in gone || !cluster.ownership.owns(id)) return null
        val type = cluster.types[typeName] ?: return null
        val m = Machine(id, type, zone, spot)
        m.firstSeenAtMs = nowMs
        adoptedAtMs.remove(id)?.let { m.adoptedAtMs = it }
        m.epoch = cluster.ownership.epoch(id)
        m.requiredTerm = maxOf(cluster.firstTerm, m.epoch)
        m.unacknowledgedTerm = m.requiredTerm - 1
        cluster.machines[id] = m
        return m
    }

    /** A machine of another share on which a recorded plan has tasks; its type is a guess that nothing rests on. */
    fun ownedElsewhere(
        id: String,
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Machine =
        Machine(id, type, zone, spot = false).also {
            it.moveTo(MachineState.OWNED_ELSEWHERE, nowMs)
            it.provisional = true
            cluster.machines[id] = it
        }

    /** The machine [id] is another share's from now on; tasks that are planned there stay until its owner has told of them. */
    fun handedOver(
        id: String,
        nowMs: Long,
    ) {
        val m = cluster.machines[id] ?: return
        sizing.left(id)
        if (m.attempts.isEmpty()) cluster.machines.remove(id) else m.moveTo(MachineState.OWNED_ELSEWHERE, nowMs)
    }

    /**
     * The machine [id] is this leader's from now on. Its former owner may have renewed it until a moment ago, and its starts are void
     * only once the worker has seen our token.
     */
    fun adopted(
        id: String,
        nowMs: Long,
    ) {
        val m = cluster.machines[id]
        if (m == null) {
            adoptedAtMs[id] = nowMs
            return
        }
        if (m.state != MachineState.OWNED_ELSEWHERE) return
        m.moveTo(MachineState.PROVISIONING, nowMs)
        m.epoch = cluster.ownership.epoch(id)
        m.requiredTerm = maxOf(cluster.firstTerm, m.epoch)
        m.unacknowledgedTerm = maxOf(m.unacknowledgedTerm, m.requiredTerm - 1)
        m.leaseRenewedAtMs = nowMs
        m.firstSeenAtMs = nowMs
        m.adoptedAtMs = nowMs
        m.lastHeartbeat = null
        m.reconciled = false
    }

    /**
     * The table says that the machine [id] is this leader's, and nothing has described it yet. It is taken for one in use until a list or a
     * report tells more; if neither comes, its return proves that it is gone.
     */
    fun assumed(
        id: String,
        nowMs: Long,
    ) {
        val type = cluster.types.values.firstOrNull() ?: return
        val m = machine(id, type.name, type.zones.firstOrNull() ?: return, false, nowMs) ?: return
        m.provisional = true
        m.adoptedAtMs = nowMs
    }

    /** A machine that was provisioned by this leader has become its own. */
    fun claimed(
        id: String,
        intent: ScaleOutIntent?,
        nowMs: Long,
    ) {
        if (intent != null) machine(id, intent.type, intent.zone, intent.spot, nowMs)
    }

    /** When machines that have not been described yet were adopted. */
    private val adoptedAtMs = HashMap<String, Long>()

    /** Machines that the cloud lists and that have no owner, and when each was first seen so. */
    val ownerless = LinkedHashMap<String, Long>()

    /** Puts the true description in place of a guessed one, with what was planned there. */
    fun redescribe(
        old: Machine,
        type: String,
        zone: String,
        spot: Boolean,
        nowMs: Long,
    ): Machine? {
        if (type !in cluster.types || old.state == MachineState.TERMINATING || !cluster.ownership.owns(old.id)) return old
        cluster.machines.remove(old.id)
        val m = machine(old.id, type, zone, spot, nowMs) ?: return null
        m.unacknowledgedTerm = maxOf(m.unacknowledgedTerm, old.unacknowledgedTerm)
        m.adoptedAtMs = old.adoptedAtMs
        m.leaseRenewedAtMs = old.leaseRenewedAtMs
        for (a in old.attempts.toList()) {
            val state = a.state
            cluster.release(a, nowMs, Cluster.DESCRIBED_ANEW)
            val b = cluster.occupy(a.job, a.index, a.number, m, a.incarnation)
            b.startSent = a.startSent
            if (state != AttemptState.PLANNING) b.moveTo(AttemptState.PLANNED, nowMs)
            if (state == AttemptState.STOPPING) b.moveTo(AttemptState.STOPPING, nowMs)
        }
        return m
    }

    /** The next call to the cloud, the most urgent first; null if there is nothing to do now. */
    fun nextCall(nowMs: Long): CloudCall? {
        if (nowMs < pausedUntilMs) return null
        val back =
            cluster.machines.values
                .filter { it.state == MachineState.RELEASING }
                .take(MAX_RETURN)
        if (back.isNotEmpty()) {
            back.forEach { it.moveTo(MachineState.TERMINATING, nowMs) }
            return CloudCall.Release(back.map { it.id })
        }
        if (!listedOnce) return CloudCall.ListPage(listAfter)
        intents.values.firstOrNull()?.let { return CloudCall.Provision(it) }
        if (listing || nowMs - lastListMs >= FleetConstants.LIST_INTERVAL_MS) return CloudCall.ListPage(listAfter)
        if (nowMs - lastTypesMs >= FleetConstants.CATALOGUE_INTERVAL_MS) return CloudCall.Types
        return null
    }

    fun failed(
        call: CloudCall,
        nowMs: Long,
    ) {
        pausedUntilMs = nowMs + FleetConstants.CLOUD_RETRY_MS
        if (call is CloudCall.Release) {
            call.machines.forEach { cluster.machines[it]?.takeIf { m -> m.state == MachineState.TERMINATING }?.moveTo(MachineState.RELEASING, nowMs) }
        }
    }

    fun listed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) {
        for (l in page) {
            if (!cluster.ownership.owns(l.id)) {
                if (cluster.ownership.isGone(l.id) && l.id !in gone) ownerless.putIfAbsent(l.id, nowMs)
                continue
            }
            ownerless.remove(l.id)
            if (l.stage == "failed" && l.id !in gone) {
                val m = machine(l.id, l.type, l.zone, l.spot, nowMs) ?: continue
                scheduleRelease(m, nowMs, "it failed by itself")
                continue
            }
            val known = l.id in cluster.machines
            val m = machine(l.id, l.type, l.zone, l.spot, nowMs) ?: continue
            if (m.firstListedAtMs == Machine.NEVER) m.firstListedAtMs = nowMs
            m.listedAtMs = nowMs
            val described = if (m.provisional) redescribe(m, l.type, l.zone, l.spot, nowMs) ?: m else m
            // What still boots is not in use.
            if (l.stage == "starting") described.adoptedAtMs = Machine.NEVER
            // Only a machine that still boots is as old as it is listed. One that is up has merely not reported to this
            // leader yet: judged by its age, a failover would return the whole fleet.
            if (!known && l.stage == "starting") m.firstSeenAtMs = nowMs - (l.heldS * 1000).toLong().coerceAtMost(MAX_HELD_MS)
        }
        if (listAfter == null) listFromMs = nowMs
        listing = hasNext
        listAfter = if (hasNext) page.lastOrNull()?.id else null
        if (!hasNext) {
            unlisted(nowMs)
            lastListMs = nowMs
            listedOnce = true
        }
    }

    /**
     * Machines that were listed for long enough for every list to have them, are not any more, and are silent: the cloud has
     * taken them. Their return proves that, and there may be room for others in their place.
     */
    private fun unlisted(nowMs: Long) {
        val lagMs = listLagMs()
        for (m in cluster.machines.values.toList()) {
            if (m.state != MachineState.UNRESPONSIVE || m.listedAtMs >= listFromMs || m.firstListedAtMs == Machine.NEVER) continue
            if (nowMs - m.firstListedAtMs > lagMs) scheduleRelease(m, nowMs, "unresponsive and not listed any more")
        }
    }

    /** Milliseconds after which a list must show what there is, at the latest. */
    fun listLagMs(): Long = (cluster.settings.listLagS * 1000 * FleetConstants.LIST_LAG_FACTOR).toLong() + FleetConstants.LIST_INTERVAL_MS

    fun provisioned(
        intent: ScaleOutIntent,
        ids: List<String>,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        if (onProvisioned(intent, ids)) {
            completedIntents.add(intent.idempotencyKey)
            ids.forEach { machine(it, intent.type, intent.zone, intent.spot, nowMs) }
        }
        log("provisioned ${ids.size} of ${intent.number} ${intent.type} in ${intent.zone}${if (intent.spot) ", spot" else ""}: $ids")
        if (ids.isNotEmpty()) sizing.granted(intent)
        if (ids.size < intent.number) sizing.refused(intent, nowMs)
    }

    fun noCapacity(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) {
        intents.remove(intent.idempotencyKey)
        completedIntents.add(intent.idempotencyKey)
        sizing.refused(intent, nowMs)
    }

    fun released(
        ids: List<String>,
        nowMs: Long,
    ) {
        for (id in ids) {
            val m = cluster.machines.remove(id) ?: continue
            m.attempts.toList().forEach { cluster.release(it, nowMs, "${m.id} was released") }
            sizing.capacityFreed(m)
            m.moveTo(MachineState.TERMINATED, nowMs)
            gone.add(id, nowMs)
            onReleased(id)
        }
    }

    fun scheduleRelease(
        m: Machine,
        nowMs: Long,
        reason: String,
    ) {
        if (m.state == MachineState.RELEASING || m.state == MachineState.TERMINATING) return
        log("releasing ${m.id} (${m.type.name}, ${m.zone}${if (m.spot) ", spot" else ""}) with ${m.attempts.size} tasks: $reason")
        m.moveTo(MachineState.RELEASING, nowMs)
    }

    /** Looks at the clock for each machine. */
    fun tick(nowMs: Long) = watch.look(nowMs)

    /** Whether the lease that [m] had from this leader has certainly ended. */
    fun leaseExpired(
        m: Machine,
        nowMs: Long,
    ) = watch.leaseExpired(m, nowMs)

    /** Compares what is wanted with what is there, once that is known and nothing that was wanted is under way. */
    fun size(nowMs: Long) {
        if (listedOnce && wantedIntents.isEmpty() && intents.isEmpty() && cluster.ownership.claiming == 0) sizing.look(nowMs)
    }

    /** Machines that are late to come up. */
    fun overdueCount(nowMs: Long): Int = sizing.overdueCount(nowMs)

    private companion object {
        /** Names in one call; the protocol's bound. */
        const val MAX_RETURN = 100

        const val MAX_HELD_MS = 3_600_000L
    }
}
