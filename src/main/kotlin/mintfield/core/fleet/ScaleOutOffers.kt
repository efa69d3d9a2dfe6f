package mintfield.core.fleet

import mintfield.core.Cluster
import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType

/** An option for provisioning: a machine type in a zone, on spot or on-demand terms. */
internal data class ScaleOutOffer(
    val type: MachineType,
    val zone: String,
    val spot: Boolean,
) {
    /** Price of one CPU, per the unit of time that the catalogue uses. */
    val pricePerCpu: Double get() = if (spot) type.spotPrice / type.cpus else type.price / type.cpus
}

/** The offers in the cloud's catalogue, with an exponential backoff for each offer that the cloud had no capacity for. */
internal class ScaleOutOffers(
    private val cluster: Cluster,
) {
    private val backoffUntilMs = HashMap<ScaleOutOffer, Long>()
    private val backoffMs = HashMap<ScaleOutOffer, Long>()

    /** Resets the backoff of the offer that [intent] requested, after the cloud has provisioned machines for it. */
    fun granted(intent: ScaleOutIntent) {
        val offer = offerOf(intent) ?: return
        backoffMs.remove(offer)
    }

    /** Doubles the backoff of the offer that [intent] requested, as the cloud had less capacity, and suspends the offer for that time. */
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

    /** Ends the backoff of the offer that matches the released [machine]: its capacity can be provisioned again. */
    fun capacityFreed(machine: Machine) {
        val offer = ScaleOutOffer(machine.type, machine.zone, machine.spot)
        backoffUntilMs.remove(offer)
        backoffMs.remove(offer)
    }

    private fun offerOf(intent: ScaleOutIntent): ScaleOutOffer? = cluster.types[intent.type]?.let { ScaleOutOffer(it, intent.zone, intent.spot) }

    /**
     * Returns the best offer that [fits] accepts and that is not backed off, or null if there is none. Preferred are the lowest price per
     * CPU, then the shortest boot time, then the zone with the fewest machines.
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
