package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/**
 * Renews the lease that the leader key is attached to. A renewed lease is counted from the sending of the request, not from its response,
 * so that it does not end later here than in the store.
 */
class LeaseRenewal(
    private val loop: EventLoop,
    private val store: StoreClient,
    private val tenure: LeaderTenure,
    private val leadership: Leadership,
) {
    private enum class Outcome { RENEWED, EXPIRED }

    /** Renews the lease until it has expired or the calling coroutine is cancelled. */
    suspend fun run() {
        while (true) {
            delay(LeadershipConstants.LEASE_RENEWAL_INTERVAL_MS)
            if (renew() == Outcome.EXPIRED) return leadership.leaseExpired()
        }
    }

    /** Retries until the store responds. */
    private suspend fun renew(): Outcome {
        var failures = 0
        while (true) {
            val sentAtMs = loop.nowMs()
            val result = store.renewLease(tenure.lease)
            if (result is StoreResult.Ok) {
                if (!result.value) return Outcome.EXPIRED
                tenure.clock.renewed(sentAtMs)
                return Outcome.RENEWED
            }
            // During an outage every attempt fails; a line every few seconds is enough to follow the time that is left.
            if (++failures % FAILURES_PER_LOG_LINE == 1) Log.info("leader lease not renewed: $result; ${tenure.clock.leftMs(loop.nowMs())} ms left")
            delay(StoreConstants.STORE_RETRY_MS)
        }
    }

    private companion object {
        const val FAILURES_PER_LOG_LINE = 16
    }
}
