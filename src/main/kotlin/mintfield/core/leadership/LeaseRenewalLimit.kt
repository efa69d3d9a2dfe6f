package mintfield.core.leadership

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.TimeUnits
import mintfield.core.model.Settings

/**
 * Limits how long a leader may renew workers' leases without receiving cancellations. A cancellation may have been confirmed to a user
 * at any time after the [CancellationWatermark]. The lease of a worker that was last renewed within the limit, and with it the worker's
 * tasks, ends before the deadline (`cancel_s`) by which the tasks of the cancelled job must have ended.
 */
class LeaseRenewalLimit(
    settings: Settings,
) {
    /** Maximum time from the watermark to the last renewal of a worker's lease. */
    private val limitMs =
        ((settings.cancelS - settings.leaseS * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)) * TimeUnits.MS_PER_SECOND).toLong() -
            PeerConstants.LEASE_RENEWAL_MARGIN_MS

    /** Whether a worker's lease may be renewed [sinceKnownMs] milliseconds after the watermark. */
    fun allows(sinceKnownMs: Long): Boolean = sinceKnownMs < limitMs
}
