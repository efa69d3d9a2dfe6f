package mintfield.app.leader

import kotlinx.coroutines.delay
import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import mintfield.io.store.StoreClient
import mintfield.io.store.StoreResult

/** Renews the lease on which the leader key hangs. It counts from the sending of the renewal, not from its answer. */
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

    /** Tries until the state service answers. */
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
            // In an outage this comes again and again; once a renewal is enough to see how time runs out.
            if (++failures % FAILURES_PER_LOG_LINE == 1) Log.info("the lease was not renewed: $result; ${tenure.clock.leftMs(loop.nowMs())} ms left")
            delay(StoreConstants.STORE_RETRY_MS)
        }
    }

    private companion object {
        const val FAILURES_PER_LOG_LINE = 16
    }
}
