package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.jobs.Job
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

/** The autoscaler: compares CPU demand with the capacity of the fleet, requests missing machines and releases idle ones. */
class FleetSizing(
    private val cluster: Cluster,
    private val bootTimes: BootTimes,
    releases: MachineReleases,
    private val log: (String) -> Unit,
) {
    /** Demand in CPUs, of services alone and of all jobs. */
    private class Demand(
        val services: Double,
        val all: Double,
    )

    /** CPUs of machines that are expected to last, by pricing terms. */
    private class Capacity(
        val onDemand: Double,
        val spot: Double,
    )

    /** Requirements of a job for a machine apart from free capacity. */
    private data class Requirement(
        val types: Set<String>,
        val zone: String?,
        val spot: Boolean,
    )

    private val offers = ScaleOutOffers(cluster)
    private val idleMachines = IdleMachines(cluster, releases)
    private var intentNumber = 0

    /** Scale-out requests that must be recorded as intents in the store before they are carried out. */
    val unrecordedIntents = ArrayDeque<ScaleOutIntent>()

    /** Resets the backoff of the offer that [intent] requested: the cloud has provisioned machines for it. */
    fun granted(intent: ScaleOutIntent) = offers.granted(intent)

    /** Backs off the offer that [intent] requested: the cloud had less capacity than requested. */
    fun refused(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) = offers.refused(intent, nowMs)

    /** Ends the backoff of the offer that matches the released [machine]: its capacity can be provisioned again. */
    fun capacityFreed(machine: Machine) = offers.capacityFreed(machine)

    /** Forgets the idle time of the machine [id], which this leader no longer owns. */
    fun forget(id: String) = idleMachines.forget(id)

    /** Requests missing machines, or releases one idle machine if none are missing. */
    fun resize(nowMs: Long) {
        val demand = demand()
        val capacity = capacity(nowMs)
        val mayScaleOut = cluster.ownership.scaleOutHeadroom > 0
        if (mayScaleOut && requestForUnplaceableJob(nowMs)) return
        val headroom = cluster.settings.operator.headroom
        val missingOnDemand = demand.services * headroom - capacity.onDemand
        val missing = demand.all * headroom - capacity.onDemand - capacity.spot
        if (missing <= 0 && missingOnDemand <= 0) return idleMachines.releaseOne(nowMs, spareCpus = -missing)
        idleMachines.clear()
        if (mayScaleOut) requestCapacity(missing, missingOnDemand, nowMs)
    }

    private fun demand(): Demand {
        var arrays = 0.0
        var services = 0.0
        for (job in cluster.jobs.values) {
            if (job.cancelled) continue
            val cpus = job.demand * job.spec.cpus
            if (job.spec.shape == Shape.SERVICE) services += cpus else arrays += cpus
        }
        return Demand(services, services + arrays)
    }

    /**
     * Overdue machines count as capacity except for a fraction that may be replaced: if all were replaced while the cloud is slow to boot
     * machines, the fleet would grow without bound.
     */
    private fun capacity(nowMs: Long): Capacity {
        var onDemand = 0.0
        var spot = 0.0
        var overdue = 0.0
        for (machine in cluster.machines.values) {
            if (!machine.expectedToLast) continue
            when {
                isOverdue(machine, nowMs) -> overdue += machine.type.cpus
                machine.spot -> spot += machine.type.cpus
                else -> onDemand += machine.type.cpus
            }
        }
        onDemand += maxOf(0.0, overdue - (onDemand + spot) * FleetConstants.OVERDUE_REPLACEMENT_FRACTION)
        return Capacity(onDemand, spot)
    }

    private fun isOverdue(
        machine: Machine,
        nowMs: Long,
    ): Boolean {
        if (machine.state != MachineState.PROVISIONING || machine.attempts.isNotEmpty()) return false
        return nowMs - machine.origin.firstSeenAtMs > bootTimes.overdueAfterMs(machine.type, machine.zone, nowMs)
    }

    /** Number of machines whose boot is overdue. */
    fun overdueCount(nowMs: Long): Int = cluster.machines.values.count { isOverdue(it, nowMs) }

    private fun requestCapacity(
        missingCpus: Double,
        missingOnDemandCpus: Double,
        nowMs: Long,
    ) {
        val offer = offers.cheapest(nowMs) { !it.spot || missingOnDemandCpus <= 0 } ?: return
        request(offer, maxOf(missingCpus, missingOnDemandCpus), "short of ${missingCpus.toInt()} CPUs")
    }

    /** Requests machines for a job that no current machine could host even if empty; false if there is no such job or no offer for it. */
    private fun requestForUnplaceableJob(nowMs: Long): Boolean {
        val job = unplaceableJob() ?: return false
        val offer = offers.cheapest(nowMs) { canHost(job, it.type, it.zone, it.spot) } ?: return false
        request(offer, job.schedulableTasks * job.spec.cpus, "no machine can host a task of ${job.id}")
        return true
    }

    private fun request(
        offer: ScaleOutOffer,
        cpus: Double,
        reason: String,
    ) {
        val number = Math.ceil(cpus / offer.type.cpus).toInt().coerceIn(1, maxBatch())
        unrecordedIntents.add(ScaleOutIntent("mf-${cluster.term}-${++intentNumber}", offer.type.name, offer.zone, offer.spot, number))
        log("scale-out requested: $number ${offer.type.name} in ${offer.zone}${if (offer.spot) ", spot" else ""}: $reason")
    }

    /** Maximum number of machines in one request. */
    private fun maxBatch(): Int {
        val fractionOfFleet = (cluster.machines.size * FleetConstants.SCALE_OUT_BATCH_FRACTION).toInt()
        return maxOf(FleetConstants.MIN_SCALE_OUT_BATCH, fractionOfFleet)
            .coerceAtMost(minOf(FleetConstants.MAX_SCALE_OUT_BATCH, cluster.ownership.scaleOutHeadroom))
    }

    private fun canHost(
        job: Job,
        type: MachineType,
        zone: String,
        spot: Boolean,
    ) = type.name in job.compatibleTypes && (job.spec.zone == null || job.spec.zone == zone) && (job.spec.spot || !spot)

    /** A job that no current machine could host even if empty, for example because its zone has lost its last machine; null if there is none. */
    private fun unplaceableJob(): Job? {
        val satisfied = HashSet<Requirement>()
        for (job in cluster.jobs.values) {
            if (job.cancelled || job.schedulableTasks == 0) continue
            val requirement = Requirement(job.compatibleTypes, job.spec.zone, job.spec.spot)
            if (requirement in satisfied) continue
            if (cluster.machines.values.none { it.expectedToLast && !it.provisional && canHost(job, it.type, it.zone, it.spot) }) return job
            satisfied.add(requirement)
        }
        return null
    }
}
