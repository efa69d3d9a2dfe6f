package mintfield.app.leader

import mintfield.core.constants.StoreConstants
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.io.loop.EventLoop
import mintfield.io.loop.RateLimiter

/**
 * How many writes a leader may send now: its part of the rate that the state service permits, and less of it while users wait for
 * writes of their own.
 */
class WritePacer(
    private val loop: EventLoop,
    private val settings: Settings,
    private val limits: StateLimitsInForce,
) {
    /** This leader's part of the permitted writes per second; the leaders of the other shards write as well. */
    private val permittedWritesPerS: Double
        get() {
            val shards = settings.operator.sharding?.shards
            return limits.current.writeRps / (shards?.size ?: 1)
        }
    private val rateLimiter =
        RateLimiter(loop, permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION, limits.current.txnOps.toDouble())
    private var limitsApplied = limits.current
    private var yieldUntilMs = 0L

    /** Whether writes of users have priority at the moment. */
    val isYielding: Boolean get() = yieldUntilMs > 0

    /** The number of writes that the next transaction may contain, as far as the pace is concerned. */
    fun available(): Int {
        applyLimits()
        if (isYielding && loop.nowMs() > yieldUntilMs) {
            yieldUntilMs = 0
            rateLimiter.rate = permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION
        }
        return rateLimiter.available.toInt()
    }

    /** Counts [count] writes that are sent now. */
    fun take(count: Int) = rateLimiter.take(count.toDouble())

    /** Writes of users wait for the state service: leaves them room for a while. */
    fun yieldToUsers() {
        yieldUntilMs = loop.nowMs() + StoreConstants.LEADER_YIELD_MS
        rateLimiter.rate = permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION_YIELDING
    }

    /** The limits in force may have become lower, by what another component of this controller has learned from the state service. */
    private fun applyLimits() {
        if (limitsApplied == limits.current) return
        limitsApplied = limits.current
        rateLimiter.setLimits(permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION, limitsApplied.txnOps.toDouble())
    }
}
