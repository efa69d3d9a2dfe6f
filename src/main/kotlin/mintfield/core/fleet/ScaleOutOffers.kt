package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType

/** A kind of machine that the cloud may provision: a type in a zone, on spot terms or not. */
internal data class ScaleOutOffer(
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** Price of one CPU for as long as the catalogue states prices for. */
    val pricePerCpu: Double get() = if (spot) type.spotPrice / type.cpus else type.price / type.cpus
}

/** What the cloud offers by its catalogue, with an exponential backoff of each offer for which it had no capacity. */
internal class ScaleOutOffers(
    private val cluster: Cluster,
) {
    private val backoffUntilMs = HashMap<ScaleOutOffer, Long>()
    private val backoffMs = HashMap<ScaleOutOffer, Long>()

    /** The cloud has provisioned machines for [intent]: the next refusal of the same offer is the first again. */
    fun granted(intent: ScaleOutIntent) {
        val offer = offerOf(intent) ?: return
        backoffMs.remove(offer)
    }

    /** The cloud had less capacity than [intent] asked for: the same offer is not requested again for a while. */
    fun refused(
        intent: ScaleOutIntent,
        nowMs: Long,
    ) {
        val offer = offerOf(intent) ?: return
        val doubledMs = backoffMs[offer]?.times(2) ?: FleetConstants.NO_CAPACITY_BACKOFF_MS
        val pauseMs = doubledMs.coerceAtMost(FleetConstants.MAX_NO_CAPACITY_BACKOFF_MS)
        backoffMs[offer] = pauseMs
        backoffUntilMs[offer] = nowMs + pauseMs
    }

    /** [machine] was released: its capacity may be provisioned again, so an earlier refusal says nothing any more. */
    fun capacityFreed(machine: Machine) {
        val offer = ScaleOutOffer(machine.type, machine.zone, machine.spot)
        backoffUntilMs.remove(offer)
        backoffMs.remove(offer)
    }

    private fun offerOf(intent: ScaleOutIntent): ScaleOutOffer? = cluster.types[intent.type]?.let { ScaleOutOffer(it, intent.zone, intent.spot) }

    /**
     * The offer to request of those that [fits] accepts and that are not backed off: the cheapest by CPU, then the quickest to boot,
     * then the zone with the fewest machines. Null if there is none.
     */
    fun cheapest(
        nowMs: Long,
        fits: (ScaleOutOffer) -> Boolean,
    ): ScaleOutOffer? {
        val offers = ArrayList<ScaleOutOffer>()
        for (type in cluster.types.values) {
            for (zone in type.zones) {
                offers.add(ScaleOutOffer(type, zone, spot = false))
                offers.add(ScaleOutOffer(type, zone, spot = true))
            }
        }
        return offers
            .filter { fits(it) && (backoffUntilMs[it] ?: Machine.NEVER) <= nowMs }
            .minWithOrNull(
                compareBy<ScaleOutOffer> { it.pricePerCpu }
                    .thenBy { it.type.bootS }
                    .thenBy { offer -> cluster.machines.values.count { it.zone == offer.zone } },
            )
    }
}
