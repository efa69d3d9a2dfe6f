package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.jobs.Job
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

/** Decides how many machines are wanted, of which type, zone and kind, and which of those there are may be returned as idle. */
class FleetSizing(
    private val cluster: Cluster,
    private val bootTimes: BootTimes,
    private val scheduleRelease: (Machine, Long, String) -> Unit,
    private val log: (String) -> Unit,
) {
    private data class Offer(
        val type: MachineType,
        val zone: String,
        val spot: Boolean,
    )

    /** Scale-out requests that are wanted; to be written as intents before they are asked for. */
    val wantedIntents = ArrayDeque<ScaleOutIntent>()
    private val refusedUntil = HashMap<Offer, Long>()
    private val refusalPause = HashMap<Offer, Long>()
    private val idleSince = HashMap<String, Long>()
    private var intentNumber = 0

    /** The cloud has let what [intent] asked for. */
    fun granted(intent: ScaleOutIntent) {
        cluster.types[intent.type]?.let { refusalPause.remove(Offer(it, intent.zone, intent.spot)) }
    }

    /** The cloud had less than [intent] asked for: the same is not asked for again for a while. */
    fun refused(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) {
        val type = cluster.types[intent.type] ?: return
        val offer = Offer(type, intent.zone, intent.spot)
        val pause = (refusalPause[offer]?.times(2) ?: FleetConstants.NO_CAPACITY_BACKOFF_MS).coerceAtMost(FleetConstants.MAX_NO_CAPACITY_BACKOFF_MS)
        refusalPause[offer] = pause
        refusedUntil[offer] = nowMs + pause
    }

    /** [m] was returned: its place may be let again, and a refusal from before says nothing any more. */
    fun capacityFreed(m: Machine) {
        val offer = Offer(m.type, m.zone, m.spot)
        refusedUntil.remove(offer)
        refusalPause.remove(offer)
    }

    /** The machine [id] is not this leader's any more. */
    fun left(id: String) {
        idleSince.remove(id)
    }

    /** Compares what is wanted with what is there, and wishes for what is missing. */
    fun look(nowMs: Long) {
        var arrays = 0.0
        var services = 0.0
        for (job in cluster.jobs.values) {
            if (job.cancelled) continue
            val want = job.demand * job.spec.cpus
            if (job.spec.shape == Shape.SERVICE) services += want else arrays += want
        }
        var ordinary = 0.0
        var spot = 0.0
        var overdue = 0.0
        for (m in cluster.machines.values) {
            if (!m.expectedToLast) continue
            if (overdue(m, nowMs)) {
                overdue += m.type.cpus
                continue
            }
            if (m.spot) spot += m.type.cpus else ordinary += m.type.cpus
        }
        // Of late machines a part is hoped for all the same, or trouble of the cloud would have us rent without end.
        ordinary += maxOf(0.0, overdue - (ordinary + spot) * FleetConstants.OVERDUE_REPLACEMENT_FRACTION)
        val mayScaleOut = cluster.ownership.scaleOutHeadroom > 0
        if (mayScaleOut && unplaceableJob()?.let { requestScaleOutFor(it, nowMs) } == true) return
        val ordinaryShort = services * cluster.settings.operator.headroom - ordinary
        val allShort = (services + arrays) * cluster.settings.operator.headroom - ordinary - spot
        if (allShort <= 0 && ordinaryShort <= 0) return releaseIdle(nowMs, -allShort)
        idleSince.clear()
        if (!mayScaleOut) return
        val offer = choose(nowMs) { !it.spot || ordinaryShort <= 0 } ?: return
        val number = Math.ceil(maxOf(allShort, ordinaryShort) / offer.type.cpus).toInt().coerceIn(1, scaleOutBatch())
        requestScaleOut(offer, number, "short of ${allShort.toInt()} CPUs")
    }

    private fun requestScaleOut(
        offer: Offer,
        number: Int,
        reason: String,
    ) {
        wantedIntents.add(ScaleOutIntent("mf-${cluster.term}-${++intentNumber}", offer.type.name, offer.zone, offer.spot, number))
        log("scale-out wanted: $number ${offer.type.name} in ${offer.zone}${if (offer.spot) ", spot" else ""}: $reason")
    }

    private fun requestScaleOutFor(
        job: Job,
        nowMs: Long,
    ): Boolean {
        val offer = choose(nowMs) { mayHold(job, it.type, it.zone, it.spot) } ?: return false
        val number = Math.ceil(job.schedulableTasks * job.spec.cpus / offer.type.cpus).toInt().coerceIn(1, scaleOutBatch())
        requestScaleOut(offer, number, "no machine can hold a task of ${job.id}")
        return true
    }

    private fun mayHold(
        job: Job,
        type: MachineType,
        zone: String,
        spot: Boolean,
    ) = type.name in job.compatibleTypes && (job.spec.zone == null || job.spec.zone == zone) && (job.spec.spot || !spot)

    /** A job that no machine could hold even if it were empty, however many CPUs there are: its zone may have lost its last. */
    private fun unplaceableJob(): Job? {
        val served = HashSet<Triple<Set<String>, String?, Boolean>>()
        for (job in cluster.jobs.values) {
            if (job.cancelled || job.schedulableTasks == 0) continue
            val key = Triple(job.compatibleTypes, job.spec.zone, job.spec.spot)
            if (key in served) continue
            if (cluster.machines.values.none { it.expectedToLast && !it.provisional && mayHold(job, it.type, it.zone, it.spot) }) return job
            served.add(key)
        }
        return null
    }

    private fun overdue(
        m: Machine,
        nowMs: Long,
    ) = m.state == MachineState.PROVISIONING && m.attempts.isEmpty() && nowMs - m.firstSeenAtMs > bootTimes.overdueAfterMs(m.type, m.zone, nowMs)

    /** Machines that are late to come up. */
    fun overdueCount(nowMs: Long): Int = cluster.machines.values.count { overdue(it, nowMs) }

    private fun scaleOutBatch() =
        maxOf(
            FleetConstants.MIN_SCALE_OUT_BATCH,
            (cluster.machines.size * FleetConstants.SCALE_OUT_BATCH_FRACTION).toInt(),
        ).coerceAtMost(minOf(FleetConstants.MAX_SCALE_OUT_BATCH, cluster.ownership.scaleOutHeadroom))

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

    private fun releaseIdle(
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
            val patience = if (cluster.jobs.isEmpty()) FleetConstants.IDLE_RELEASE_WITHOUT_JOBS_MS else cluster.settings.operator.idleReleaseMs
            if (nowMs - since > patience) {
                idleSince.remove(m.id)
                return scheduleRelease(m, nowMs, "idle and not needed")
            }
        }
    }
}
