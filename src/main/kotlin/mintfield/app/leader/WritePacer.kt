package mintfield.app.leader

import mintfield.core.constants.StoreConstants
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.io.loop.EventLoop
import mintfield.io.loop.RateLimiter

/**
 * Limits the rate of a leader's writes to its part of the rate that the store permits, and to a smaller part while
 * users' writes wait.
 */
class WritePacer(
    private val loop: EventLoop,
    private val settings: Settings,
    private val limits: StateLimitsInForce,
) {
    /** The permitted writes per second, divided equally among the leaders of all shards. */
    private val permittedWritesPerS: Double
        get() {
            val shards = settings.operator.sharding?.shards
            return limits.current.writeRps / (shards?.size ?: 1)
        }
    private val rateLimiter =
        RateLimiter(loop, permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION, limits.current.txnOps.toDouble())
    private var limitsApplied = limits.current
    private var yieldUntilMs = 0L

    /** Whether users' writes currently have priority. */
    val isYielding: Boolean get() = yieldUntilMs > 0

    /** The number of writes that the rate permits in the next transaction. */
    fun available(): Int {
        applyLimits()
        if (isYielding && loop.nowMs() > yieldUntilMs) {
            yieldUntilMs = 0
            rateLimiter.rate = permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION
        }
        return rateLimiter.available.toInt()
    }

    /** Counts [count] writes that are sent now against the rate. */
    fun recordWrites(count: Int) = rateLimiter.take(count.toDouble())

    /** Lowers the rate for [StoreConstants.LEADER_YIELD_MS], as users' writes wait for the store. */
    fun yieldToUsers() {
        yieldUntilMs = loop.nowMs() + StoreConstants.LEADER_YIELD_MS
        rateLimiter.rate = permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION_YIELDING
    }

    /** Applies the limits in force, which another component of this controller may have lowered after a response of the store. */
    private fun applyLimits() {
        if (limitsApplied == limits.current) return
        limitsApplied = limits.current
        rateLimiter.setLimits(permittedWritesPerS * StoreConstants.LEADER_WRITE_FRACTION, limitsApplied.txnOps.toDouble())
    }
}
