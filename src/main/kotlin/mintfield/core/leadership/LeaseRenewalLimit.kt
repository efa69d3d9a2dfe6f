package mintfield.core.leadership

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.model.Settings

/**
 * For how long a leader may renew workers' leases without learning of cancellations. A user may have been told of one at any moment
 * after the [CancellationWatermark]. A worker that is renewed all the same must have lost its lease, and its tasks with it, by the time at
 * which a task of the cancelled job must be gone.
 */
class LeaseRenewalLimit(
    settings: Settings,
) {
    /** Milliseconds from the watermark to the last renewal of a worker. */
    private val limitMs =
        ((settings.cancelS - settings.leaseS * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)) * TimeUnits.MS_PER_SECOND).toLong() -
            PeerConstants.LEASE_RENEWAL_MARGIN_MS

    /** Whether a worker may be renewed [sinceKnownMs] milliseconds after the watermark. */
    fun allows(sinceKnownMs: Long): Boolean = sinceKnownMs < limitMs
}
