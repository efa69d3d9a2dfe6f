package mintfield.core.leadership

import mintfield.core.constants.LeadershipConstants

/**
 * Tracks how long a leader may act on its lease of [lifeMs]. The lease is counted from the *sending* of its last successful renewal, less
 * clock drift and a margin, so that it ends locally before it can end in the store.
 *
 * All times are in milliseconds of this controller's monotonic clock. The request that granted the lease was sent at [grantedSentAtMs].
 */
class LeaseClock(
    private val lifeMs: Long,
    grantedSentAtMs: Long,
) {
    private var sentAtMs = grantedSentAtMs

    /** Extends the lease after the success of a renewal that was sent at [renewalSentAtMs]. */
    fun renewed(renewalSentAtMs: Long) {
        sentAtMs = maxOf(sentAtMs, renewalSentAtMs)
    }

    /** Milliseconds until the lease ends; negative after its end. */
    fun leftMs(nowMs: Long): Long = sentAtMs + (lifeMs * (1 - LeadershipConstants.MAX_CLOCK_DRIFT)).toLong() - LeadershipConstants.LEASE_MARGIN_MS - nowMs

    /** Whether the lease is still valid, so that the leader may act. */
    fun mayAct(nowMs: Long) = leftMs(nowMs) > 0
}
