package mintfield.core.leadership

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.model.Settings

/**
 * For how long a leader may renew workers' leases without hearing of cancellations. A user may have been told of one at any
 * moment after the one up to which the leader knows them all ([CancellationWatermark]); what it renews must have lost its lease
 * before a task of that job counts as running for too long.
 */
class LeaseRenewalLimit(
    settings: Settings,
) {
    /** Milliseconds from that moment to the last renewal of a worker. */
    private val longestMs =
        ((settings.cancelS - settings.leaseS * (1 + LeadershipConstants.MAX_CLOCK_DRIFT)) * MS).toLong() - PeerConstants.LEASE_RENEWAL_MARGIN_MS

    /** Whether a worker may be renewed [sinceKnownMs] after the moment up to which all cancellations are known. */
    fun allows(sinceKnownMs: Long): Boolean = sinceKnownMs < longestMs

    private companion object {
        const val MS = 1000.0
    }
}
