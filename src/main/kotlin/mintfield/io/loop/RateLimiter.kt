package mintfield.io.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import mintfield.core.constants.TimeUnits
import kotlin.coroutines.resume

/**
 * Token bucket that grants [rate] permits per second with bursts of up to [burst]. Waiting callers are served in order, urgent ones before
 * all others. May be used on [loop] only.
 */
class RateLimiter(
    private val loop: EventLoop,
    rate: Double,
    private var burst: Double,
) {
    private class Waiter(
        val cost: Double,
        val continuation: CancellableContinuation<Unit>,
    )

    /** Permits per second. A change takes effect immediately. */
    var rate = rate
        set(value) {
            refill()
            field = value
        }
    private var tokens = burst
    private var refilledAtNanos = System.nanoTime()
    private val urgent = ArrayDeque<Waiter>()
    private val regular = ArrayDeque<Waiter>()
    private var timer: EventLoop.Timer? = null

    /** Sets the limits to [rate] permits per second with bursts of up to [burst], with immediate effect. */
    fun setLimits(
        rate: Double,
        burst: Double,
    ) {
        this.rate = rate
        this.burst = burst
    }

    /** Number of permits that can be acquired without waiting; 0 while any caller waits. */
    val available: Double
        get() {
            refill()
            return if (urgent.isEmpty() && regular.isEmpty()) tokens else 0.0
        }

    /** Takes [cost] permits without waiting. The balance may become negative, which makes later callers wait. */
    fun take(cost: Double) {
        refill()
        tokens -= cost
    }

    /** Waits for [cost] permits and takes them. A cost above the burst is granted once the bucket is full and makes the balance negative. */
    suspend fun acquire(
        cost: Double = 1.0,
        isUrgent: Boolean = false,
    ) {
        refill()
        if (tokens >= cost && urgent.isEmpty() && (isUrgent || regular.isEmpty())) {
            tokens -= cost
            return
        }
        suspendCancellableCoroutine { continuation ->
            (if (isUrgent) urgent else regular).addLast(Waiter(cost, continuation))
            scheduleGrants()
        }
    }

    private fun refill() {
        val now = System.nanoTime()
        tokens = minOf(burst, tokens + (now - refilledAtNanos) / NANOS_PER_S * rate)
        refilledAtNanos = now
    }

    private fun scheduleGrants() {
        if (timer != null) return
        val head = urgent.firstOrNull() ?: regular.firstOrNull() ?: return
        val required = minOf(head.cost, burst)
        val waitMs = Math.ceil(maxOf(0.0, required - tokens) / rate * TimeUnits.MS_PER_SECOND).toLong().coerceAtLeast(1)
        timer =
            loop.schedule(waitMs) {
                timer = null
                grantWaiting()
            }
    }

    private fun grantWaiting() {
        refill()
        while (true) {
            val queue = if (urgent.isNotEmpty()) urgent else regular
            val head = queue.firstOrNull() ?: return
            if (!head.continuation.isActive) {
                queue.removeFirst()
                continue
            }
            if (tokens < minOf(head.cost, burst)) return scheduleGrants()
            queue.removeFirst()
            tokens -= head.cost
            head.continuation.resume(Unit)
        }
    }

    private companion object {
        const val NANOS_PER_S = 1e9
    }
}
