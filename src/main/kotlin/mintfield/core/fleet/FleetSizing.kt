package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.jobs.Job
import mintfield.core.model.MachineType
import mintfield.core.model.Shape

/** The autoscaler: compares the demand for CPUs with the capacity there is, requests what is missing and releases what is idle. */
class FleetSizing(
    private val cluster: Cluster,
    private val bootTimes: BootTimes,
    releases: MachineReleases,
    private val log: (String) -> Unit,
) {
    /** CPUs that are in demand. */
    private class Demand(
        val services: Double,
        val all: Double,
    )

    /** CPUs of the machines that are expected to last. */
    private class Capacity(
        val ordinary: Double,
        val spot: Double,
    )

    /** What a job requires of a machine, however much room there is. */
    private data class Requirement(
        val types: Set<String>,
        val zone: String?,
        val spot: Boolean,
    )

    private val offers = ScaleOutOffers(cluster)
    private val idleMachines = IdleMachines(cluster, releases)
    private var intentNumber = 0

    /** Scale-out requests that are wanted; to be written as intents before they are carried out. */
    val wantedIntents = ArrayDeque<ScaleOutIntent>()

    /** The cloud has provisioned machines for [intent]. */
    fun granted(intent: ScaleOutIntent) = offers.granted(intent)

    /** The cloud had less capacity than [intent] asked for: the same is not requested again for a while. */
    fun refused(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) = offers.refused(intent, nowMs)

    /** [machine] was released: its capacity may be provisioned again. */
    fun capacityFreed(machine: Machine) = offers.capacityFreed(machine)

    /** The machine [id] is not this leader's any more. */
    fun forget(id: String) = idleMachines.forget(id)

    /** Requests the machines that are missing, or else releases an idle one. */
    fun resize(nowMs: Long) {
        val demand = demand()
        val capacity = capacity(nowMs)
        val mayScaleOut = cluster.ownership.scaleOutHeadroom > 0
        if (mayScaleOut && requestForUnplaceableJob(nowMs)) return
        val headroom = cluster.settings.operator.headroom
        val missingOrdinary = demand.services * headroom - capacity.ordinary
        val missing = demand.all * headroom - capacity.ordinary - capacity.spot
        if (missing <= 0 && missingOrdinary <= 0) return idleMachines.releaseOne(nowMs, spareCpus = -missing)
        idleMachines.clear()
        if (mayScaleOut) requestCapacity(missing, missingOrdinary, nowMs)
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
     * Of overdue machines all but a fraction counts as capacity: if the cloud is slow to boot, replacing each of them would provision
     * without end.
     */
    private fun capacity(nowMs: Long): Capacity {
        var ordinary = 0.0
        var spot = 0.0
        var overdue = 0.0
        for (machine in cluster.machines.values) {
            if (!machine.expectedToLast) continue
            when {
                isOverdue(machine, nowMs) -> overdue += machine.type.cpus
                machine.spot -> spot += machine.type.cpus
                else -> ordinary += machine.type.cpus
            }
        }
        ordinary += maxOf(0.0, overdue - (ordinary + spot) * FleetConstants.OVERDUE_REPLACEMENT_FRACTION)
        return Capacity(ordinary, spot)
    }

    private fun isOverdue(
        machine: Machine,
        nowMs: Long,
    ): Boolean {
        if (machine.state != MachineState.PROVISIONING || machine.attempts.isNotEmpty()) return false
        return nowMs - machine.origin.firstSeenAtMs > bootTimes.overdueAfterMs(machine.type, machine.zone, nowMs)
    }

    /** Number of machines that are overdue to come up. */
    fun overdueCount(nowMs: Long): Int = cluster.machines.values.count { isOverdue(it, nowMs) }

    private fun requestCapacity(
        missingCpus: Double,
        missingOrdinaryCpus: Double,
        nowMs: Long,
    ) {
        val offer = offers.cheapest(nowMs) { !it.spot || missingOrdinaryCpus <= 0 } ?: return
        request(offer, maxOf(missingCpus, missingOrdinaryCpus), "short of ${missingCpus.toInt()} CPUs")
    }

    /** Requests machines for a job that none could hold even if it were empty; false if there is no such job or no offer for it. */
    private fun requestForUnplaceableJob(nowMs: Long): Boolean {
        val job = unplaceableJob() ?: return false
        val offer = offers.cheapest(nowMs) { mayHold(job, it.type, it.zone, it.spot) } ?: return false
        request(offer, job.schedulableTasks * job.spec.cpus, "no machine can hold a task of ${job.id}")
        return true
    }

    private fun request(
        offer: ScaleOutOffer,
        cpus: Double,
        reason: String,
    ) {
        val number = Math.ceil(cpus / offer.type.cpus).toInt().coerceIn(1, maxBatch())
        wantedIntents.add(ScaleOutIntent("mf-${cluster.term}-${++intentNumber}", offer.type.name, offer.zone, offer.spot, number))
        log("scale-out wanted: $number ${offer.type.name} in ${offer.zone}${if (offer.spot) ", spot" else ""}: $reason")
    }

    /** Machines that one request may ask for. */
    private fun maxBatch(): Int {
        val fractionOfFleet = (cluster.machines.size * FleetConstants.SCALE_OUT_BATCH_FRACTION).toInt()
        return maxOf(FleetConstants.MIN_SCALE_OUT_BATCH, fractionOfFleet)
            .coerceAtMost(minOf(FleetConstants.MAX_SCALE_OUT_BATCH, cluster.ownership.scaleOutHeadroom))
    }

    private fun mayHold(
        job: Job,
        type: MachineType,
        zone: String,
        spot: Boolean,
    ) = type.name in job.compatibleTypes && (job.spec.zone == null || job.spec.zone == zone) && (job.spec.spot || !spot)

    /** A job that no machine could hold even if it were empty, however many CPUs there are: its zone may have lost its last one. */
    private fun unplaceableJob(): Job? {
        val served = HashSet<Requirement>()
        for (job in cluster.jobs.values) {
            if (job.cancelled || job.schedulableTasks == 0) continue
            val requirement = Requirement(job.compatibleTypes, job.spec.zone, job.spec.spot)
            if (requirement in served) continue
            if (cluster.machines.values.none { it.expectedToLast && !it.provisional && mayHold(job, it.type, it.zone, it.spot) }) return job
            served.add(requirement)
        }
        return null
    }
}
