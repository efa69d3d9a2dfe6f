package mintfield.core.fleet

import mintfield.core.CloudCall
import mintfield.core.Cluster
import mintfield.core.RentIntent
import mintfield.core.Tuning
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

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
    private data class Offer(
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
    )

    /** Intents to write, then to carry out. */
    val wishes = ArrayDeque<RentIntent>()
    val intents = LinkedHashMap<String, RentIntent>()
    val spentIntents = ArrayDeque<String>()
    private val refusedUntil = HashMap<Offer, Long>()
    private val refusalPause = HashMap<Offer, Long>()
    private val gone = ReturnedMachines()
    private var pleaNumber = 0
    private var lastListMs = Machine.NEVER
    private var listAfter: String? = null
    private var listing = false

    /** When the first page of the list that is being read came. */
    private var listFromMs = Machine.NEVER
    private var listedOnce = false
    private var lastTypesMs = Machine.NEVER
    private var pausedUntilMs = Machine.NEVER
    private var startedAtMs = Machine.NEVER
    private val idleSince = HashMap<String, Long>()
    val boots = Boots()

    /** Told of each machine that is certainly gone. */
    var returnedNow: (String) -> Unit = {}

    /** Told of what was rented before it is used; true if it may be used at once. */
    var rentedNow: (RentIntent, List<String>) -> Boolean = { _, _ -> true }

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
        m.neededTerm = maxOf(cluster.firstTerm, m.epoch)
        m.unansweredTerm = m.neededTerm - 1
        cluster.machines[id] = m
        return m
    }

    /** A machine of another share on which a recorded plan has tasks; its type is a guess that nothing rests on. */
    fun away(
        id: String,
        type: MachineType,
        zone: String,
        nowMs: Long,
    ): Machine =
        Machine(id, type, zone, spot = false).also {
            it.moveTo(MachineState.AWAY, nowMs)
            it.guessed = true
            cluster.machines[id] = it
        }

    /** The machine [id] is another share's from now on; tasks that are planned there stay until its owner has told of them. */
    fun handedOver(
        id: String,
        nowMs: Long,
    ) {
        val m = cluster.machines[id] ?: return
        idleSince.remove(id)
        if (m.attempts.isEmpty()) cluster.machines.remove(id) else m.moveTo(MachineState.AWAY, nowMs)
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
        if (m.state != MachineState.AWAY) return
        m.moveTo(MachineState.AWAITED, nowMs)
        m.epoch = cluster.ownership.epoch(id)
        m.neededTerm = maxOf(cluster.firstTerm, m.epoch)
        m.unansweredTerm = maxOf(m.unansweredTerm, m.neededTerm - 1)
        m.answeredAtMs = nowMs
        m.firstSeenAtMs = nowMs
        m.adoptedAtMs = nowMs
        m.lastReport = null
        m.quiet = false
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
        m.guessed = true
        m.adoptedAtMs = nowMs
    }

    /** A machine that was rented by this leader has become its own. */
    fun claimed(
        id: String,
        intent: RentIntent?,
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
        if (type !in cluster.types || old.state == MachineState.RETURNING || !cluster.ownership.owns(old.id)) return old
        cluster.machines.remove(old.id)
        val m = machine(old.id, type, zone, spot, nowMs) ?: return null
        m.unansweredTerm = maxOf(m.unansweredTerm, old.unansweredTerm)
        m.adoptedAtMs = old.adoptedAtMs
        m.answeredAtMs = old.answeredAtMs
        for (a in old.attempts.toList()) {
            val state = a.state
            cluster.release(a, nowMs, Cluster.DESCRIBED_ANEW)
            val b = cluster.occupy(a.job, a.index, a.number, m, a.season)
            b.everSent = a.everSent
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
                .filter { it.state == MachineState.CONDEMNED }
                .take(MAX_RETURN)
        if (back.isNotEmpty()) {
            back.forEach { it.moveTo(MachineState.RETURNING, nowMs) }
            return CloudCall.Return(back.map { it.id })
        }
        if (!listedOnce) return CloudCall.ListPage(listAfter)
        intents.values.firstOrNull()?.let { return CloudCall.Rent(it) }
        if (listing || nowMs - lastListMs >= Tuning.LIST_MS) return CloudCall.ListPage(listAfter)
        if (nowMs - lastTypesMs >= Tuning.TYPES_MS) return CloudCall.Types
        return null
    }

    fun failed(
        call: CloudCall,
        nowMs: Long,
    ) {
        pausedUntilMs = nowMs + Tuning.CLOUD_RETRY_MS
        if (call is CloudCall.Return) {
            call.machines.forEach { cluster.machines[it]?.takeIf { m -> m.state == MachineState.RETURNING }?.moveTo(MachineState.CONDEMNED, nowMs) }
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
                condemn(m, nowMs, "it failed by itself")
                continue
            }
            val known = l.id in cluster.machines
            val m = machine(l.id, l.type, l.zone, l.spot, nowMs) ?: continue
            if (m.firstListedAtMs == Machine.NEVER) m.firstListedAtMs = nowMs
            m.listedAtMs = nowMs
            val described = if (m.guessed) redescribe(m, l.type, l.zone, l.spot, nowMs) ?: m else m
            // What still boots is not in use.
            if (l.stage == "starting") described.adoptedAtMs = Machine.NEVER
            // Only a machine that still boots is as old as it is listed. One that is up has merely not reported to this
            // leader yet: judged by its age, a take-over would return the whole fleet.
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
            if (m.state != MachineState.SILENT || m.listedAtMs >= listFromMs || m.firstListedAtMs == Machine.NEVER) continue
            if (nowMs - m.firstListedAtMs > lagMs) condemn(m, nowMs, "it is silent and not listed any more")
        }
    }

    /** Milliseconds after which a list must show what there is, at the latest. */
    fun listLagMs(): Long = (cluster.settings.listLagS * 1000 * Tuning.LIST_LAG_TIMES).toLong() + Tuning.LIST_MS

    fun rented(
        intent: RentIntent,
        ids: List<String>,
        nowMs: Long,
    ) {
        intents.remove(intent.plea)
        if (rentedNow(intent, ids)) {
            spentIntents.add(intent.plea)
            ids.forEach { machine(it, intent.type, intent.zone, intent.spot, nowMs) }
        }
        log("rented ${ids.size} of ${intent.number} ${intent.type} in ${intent.zone}${if (intent.spot) ", spot" else ""}: $ids")
        if (ids.isNotEmpty()) cluster.types[intent.type]?.let { refusalPause.remove(Offer(it, intent.zone, intent.spot)) }
        if (ids.size < intent.number) refuse(intent, nowMs)
    }

    fun noCapacity(
        intent: RentIntent,
        nowMs: Long,
    ) {
        intents.remove(intent.plea)
        spentIntents.add(intent.plea)
        refuse(intent, nowMs)
    }

    private fun refuse(
        intent: RentIntent,
        nowMs: Long,
    ) {
        val type = cluster.types[intent.type] ?: return
        val offer = Offer(type, intent.zone, intent.spot)
        val pause = (refusalPause[offer]?.times(2) ?: Tuning.NO_CAPACITY_MS).coerceAtMost(Tuning.NO_CAPACITY_MAX_MS)
        refusalPause[offer] = pause
        refusedUntil[offer] = nowMs + pause
    }

    fun returned(
        ids: List<String>,
        nowMs: Long,
    ) {
        for (id in ids) {
            val m = cluster.machines.remove(id) ?: continue
            m.attempts.toList().forEach { cluster.release(it, nowMs, "${m.id} was returned") }
            // Its place may be let again: a refusal from before says nothing any more.
            val offer = Offer(m.type, m.zone, m.spot)
            refusedUntil.remove(offer)
            refusalPause.remove(offer)
            m.moveTo(MachineState.GONE, nowMs)
            gone.add(id, nowMs)
            returnedNow(id)
        }
    }

    fun condemn(
        m: Machine,
        nowMs: Long,
        why: String,
    ) {
        if (m.state == MachineState.CONDEMNED || m.state == MachineState.RETURNING) return
        log("returning ${m.id} (${m.type.name}, ${m.zone}${if (m.spot) ", spot" else ""}) with ${m.attempts.size} tasks: $why")
        m.moveTo(MachineState.CONDEMNED, nowMs)
    }

    /** Looks at the clock: silence, leases certainly expired, machines that never came up, sick ones. */
    fun tick(nowMs: Long) {
        if (startedAtMs == Machine.NEVER) startedAtMs = nowMs
        val silentByZone = HashMap<String, Int>()
        val byZone = HashMap<String, Int>()
        for (m in cluster.machines.values) {
            if (m.state == MachineState.AWAY || (m.heardAtMs == Machine.NEVER && m.attempts.isEmpty())) continue
            byZone.merge(m.zone, 1, Int::plus)
            if (nowMs - m.heardAtMs > cluster.timings.freshReportMs) silentByZone.merge(m.zone, 1, Int::plus)
        }
        val deaf = cluster.machines.values.count { it.state == MachineState.UP && it.hearing.state == ReachabilityState.DEAF }
        // Many at once speak of the network, not of the machines.
        val returnDeaf = deaf <= maxOf(Tuning.DEAF_FEW, (cluster.machines.size * Tuning.DEAF_SHARE).toInt())
        for (m in cluster.machines.values.toList()) {
            if (m.state == MachineState.UP) unheard(m, returnDeaf, nowMs)
            when (m.state) {
                MachineState.AWAITED -> awaited(m, nowMs, (silentByZone[m.zone] ?: 0) > Tuning.SILENT_ZONE_SHARE * (byZone[m.zone] ?: 1))
                MachineState.UP -> if (nowMs - m.heardAtMs > cluster.timings.freshReportMs) m.moveTo(MachineState.SILENT, nowMs)
                MachineState.SILENT -> silent(m, nowMs, (silentByZone[m.zone] ?: 0) > Tuning.SILENT_ZONE_SHARE * (byZone[m.zone] ?: 1))
                else -> {}
            }
            expire(m, nowMs)
            val sick = m.blamed >= Tuning.SICK_FAILURES || m.suspects.size >= Tuning.SICK_SUSPECTS
            if (m.state == MachineState.UP && sick) {
                condemn(m, nowMs, "it fails what it is given")
            }
        }
    }

    /** A machine that reports but does not hear is returned if that lasts, or if it holds what must not run any more. */
    private fun unheard(
        m: Machine,
        returnDeaf: Boolean,
        nowMs: Long,
    ) {
        if (!returnDeaf) return
        if (m.hearing.state == ReachabilityState.DEAF && nowMs - m.hearing.sinceMs > Tuning.DEAF_RETURN_MS) {
            return condemn(m, nowMs, "it has not heard us for ${(nowMs - m.hearing.sinceMs) / 1000} s")
        }
        if (m.count(AttemptState.STOPPING) == 0) return
        val limit = cluster.settings.cancelS * 1000 * Tuning.CANCEL_SHARE
        m.attempts.firstOrNull { it.state == AttemptState.STOPPING && it.job.withdrawn && nowMs - it.changedAtMs > limit }?.let {
            condemn(m, nowMs, "${it.job.spec.id}/${it.index} is withdrawn and does not stop there")
        }
    }

    private fun awaited(
        m: Machine,
        nowMs: Long,
        zoneSilent: Boolean,
    ) {
        // What a plan names was up once. If it died before the take-over, only its return proves that its tasks are gone.
        if (m.attempts.isNotEmpty() || m.adoptedAtMs != Machine.NEVER) {
            val limit =
                when {
                    m.guessed && m.attempts.isNotEmpty() -> cluster.timings.unlistedReturnMs
                    zoneSilent -> Tuning.SILENT_ZONE_RETURN_MS
                    m.adoptedAtMs != Machine.NEVER -> maxOf(cluster.timings.replayedReturnMs, listLagMs())
                    else -> cluster.timings.replayedReturnMs
                }
            if (nowMs - maxOf(m.firstSeenAtMs, startedAtMs) > limit) condemn(m, nowMs, "it was in use and has not reported to this leader")
            return
        }
        val patience = m.type.bootS * 1000 * Tuning.BOOT_PATIENCE + Tuning.BOOT_PATIENCE_MS
        if (nowMs - m.firstSeenAtMs > patience && nowMs - startedAtMs > Tuning.BOOT_PATIENCE_MS) condemn(m, nowMs, "it never came up")
    }

    private fun silent(
        m: Machine,
        nowMs: Long,
        zoneSilent: Boolean,
    ) {
        val taken = m.takenAtMs
        val limit = if (zoneSilent) Tuning.SILENT_ZONE_RETURN_MS else cluster.timings.silentReturnMs
        when {
            taken != null && nowMs > taken + cluster.timings.freshReportMs -> condemn(m, nowMs, "its notice has run out and it is silent")
            nowMs - m.heardAtMs > limit -> condemn(m, nowMs, "silent for ${(nowMs - m.heardAtMs) / 1000} s")
        }
    }

    /**
     * Proof by lease: the worker has seen a term of this leader, so nobody else could have renewed its lease since, and
     * the last answer that might have done so is longer ago than the lease can last.
     */
    private fun expire(
        m: Machine,
        nowMs: Long,
    ) {
        if (m.attempts.isEmpty() || m.state == MachineState.AWAY || !leaseEnded(m, nowMs)) return
        for (a in m.attempts.toList()) {
            // Planned in the season that has ended: a start still under way names that season and is refused.
            cluster.release(a, nowMs, "lease expired, silent for ${(nowMs - m.heardAtMs) / 1000} s")
        }
    }

    /** Whether the lease that [m] had from this leader has certainly ended. */
    fun leaseEnded(
        m: Machine,
        nowMs: Long,
    ) = cluster.heardOurs(m) && m.answeredAtMs != Machine.NEVER && nowMs - m.answeredAtMs > cluster.timings.leaseEndedMs

    /** Compares what is wanted with what is there, and wishes for what is missing. */
    fun size(nowMs: Long) {
        if (!listedOnce || wishes.isNotEmpty() || intents.isNotEmpty() || cluster.ownership.claiming > 0) return
        var arrays = 0.0
        var services = 0.0
        for (job in cluster.jobs.values) {
            if (job.withdrawn) continue
            val want = job.demand * job.spec.cpus
            if (job.spec.shape == Shape.SERVICE) services += want else arrays += want
        }
        var ordinary = 0.0
        var spot = 0.0
        var late = 0.0
        for (m in cluster.machines.values) {
            if (!m.lasting) continue
            if (late(m, nowMs)) {
                late += m.type.cpus
                continue
            }
            if (m.spot) spot += m.type.cpus else ordinary += m.type.cpus
        }
        // Of late machines a part is hoped for all the same, or trouble of the cloud would have us rent without end.
        ordinary += maxOf(0.0, late - (ordinary + spot) * Tuning.LATE_SHARE)
        val mayRent = cluster.ownership.roomToRent > 0
        if (mayRent && homeless()?.let { wishFor(it, nowMs) } == true) return
        val ordinaryShort = services * cluster.settings.operator.headroom - ordinary
        val allShort = (services + arrays) * cluster.settings.operator.headroom - ordinary - spot
        if (allShort <= 0 && ordinaryShort <= 0) return returnIdle(nowMs, -allShort)
        idleSince.clear()
        if (!mayRent) return
        val offer = choose(nowMs) { !it.spot || ordinaryShort <= 0 } ?: return
        val number = Math.ceil(maxOf(allShort, ordinaryShort) / offer.type.cpus).toInt().coerceIn(1, rentAtOnce())
        wish(offer, number, "short of ${allShort.toInt()} CPUs")
    }

    private fun wish(
        offer: Offer,
        number: Int,
        why: String,
    ) {
        wishes.add(RentIntent("mf-${cluster.term}-${++pleaNumber}", offer.type.name, offer.zone, offer.spot, number))
        log("wishing for $number ${offer.type.name} in ${offer.zone}${if (offer.spot) ", spot" else ""}: $why")
    }

    private fun wishFor(
        job: Job,
        nowMs: Long,
    ): Boolean {
        val offer = choose(nowMs) { mayHold(job, it.type, it.zone, it.spot) } ?: return false
        val number = Math.ceil(job.askable * job.spec.cpus / offer.type.cpus).toInt().coerceIn(1, rentAtOnce())
        wish(offer, number, "no machine can hold a task of ${job.id}")
        return true
    }

    private fun mayHold(
        job: Job,
        type: MachineType,
        zone: String,
        spot: Boolean,
    ) = type.name in job.fits && (job.spec.zone == null || job.spec.zone == zone) && (job.spec.spot || !spot)

    /** A job that no machine could hold even if it were empty, however many CPUs there are: its zone may have lost its last. */
    private fun homeless(): Job? {
        val served = HashSet<Triple<Set<String>, String?, Boolean>>()
        for (job in cluster.jobs.values) {
            if (job.withdrawn || job.askable == 0) continue
            val key = Triple(job.fits, job.spec.zone, job.spec.spot)
            if (key in served) continue
            if (cluster.machines.values.none { it.lasting && !it.guessed && mayHold(job, it.type, it.zone, it.spot) }) return job
            served.add(key)
        }
        return null
    }

    private fun late(
        m: Machine,
        nowMs: Long,
    ) = m.state == MachineState.AWAITED && m.attempts.isEmpty() && nowMs - m.firstSeenAtMs > boots.lateAfterMs(m.type, m.zone, nowMs)

    /** Machines that are late to come up. */
    fun lateCount(nowMs: Long): Int = cluster.machines.values.count { late(it, nowMs) }

    private fun rentAtOnce() =
        maxOf(Tuning.RENT_AT_ONCE, (cluster.machines.size * Tuning.RENT_SHARE).toInt()).coerceAtMost(minOf(Tuning.RENT_AT_MOST, cluster.ownership.roomToRent))

    private fun choose(
        nowMs: Long,
        fit: (Offer) -> Boolean,
    ): Offer? {
        val offers = ArrayList<Offer>()
        for (t in cluster.types.values) {
            for (z in t.zones) {
                offers.add(Offer(t, z, false))
                offers.add(Offer(t, z, true))
            }
        }
        return offers
            .filter { fit(it) && (refusedUntil[it] ?: Machine.NEVER) <= nowMs }
            .minWithOrNull(
                compareBy<Offer> { if (it.spot) it.type.spotPrice / it.type.cpus else it.type.price / it.type.cpus }
                    .thenBy { it.type.bootS }
                    .thenBy { o -> cluster.machines.values.count { it.zone == o.zone } },
            )
    }

    private fun returnIdle(
        nowMs: Long,
        spare: Double,
    ) {
        if (!cluster.ownership.maySpare) return
        for (m in cluster.machines.values) {
            if (m.inUse || m.state != MachineState.UP || m.type.cpus > spare) {
                idleSince.remove(m.id)
                continue
            }
            val since = idleSince.getOrPut(m.id) { nowMs }
            val patience = if (cluster.jobs.isEmpty()) Tuning.EMPTY_RETURN_MS else cluster.settings.operator.idleReturnMs
            if (nowMs - since > patience) {
                idleSince.remove(m.id)
                return condemn(m, nowMs, "idle and not needed")
            }
        }
    }

    private companion object {
        /** Names in one call; the protocol's bound. */
        const val MAX_RETURN = 100

        const val MAX_HELD_MS = 3_600_000L
    }
}
