package mintfield.io.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume

/** Lets through [rate] permits a second with bursts of [burst]; the urgent go before the rest. */
class RateLimiter(
    private val loop: EventLoop,
    rate: Double,
    private var burst: Double,
) {
    private class Waiter(
        val cost: Double,
        val continuation: CancellableContinuation<Unit>,
    )

    /** Permits a second from now on. */
    var rate = rate
        set(value) {
            fill()
            field = value
        }
    private var tokens = burst
    private var filledAt = System.nanoTime()
    private val urgent = ArrayDeque<Waiter>()
    private val others = ArrayDeque<Waiter>()
    private var timer: EventLoop.Timer? = null

    /** From now on lets through [rate] permits a second with bursts of [burst]. */
    fun limit(
        rate: Double,
        burst: Double,
    ) {
        this.rate = rate
        this.burst = burst
    }

    /** Permits that could be had at once. */
    val available: Double
        get() {
            fill()
            return if (urgent.isEmpty() && others.isEmpty()) tokens else 0.0
        }

    /** Takes permits without waiting; the balance may go below zero, which makes later callers wait. */
    fun take(cost: Double) {
        fill()
        tokens -= cost
    }

    suspend fun acquire(
        cost: Double = 1.0,
        urgentCall: Boolean = false,
    ) {
        fill()
        if (tokens >= cost && urgent.isEmpty() && (urgentCall || others.isEmpty())) {
            tokens -= cost
            return
        }
        suspendCancellableCoroutine { c ->
            (if (urgentCall) urgent else others).addLast(Waiter(cost, c))
            arm()
        }
    }

    private fun fill() {
        val now = System.nanoTime()
        tokens = minOf(burst, tokens + (now - filledAt) / 1e9 * rate)
        filledAt = now
    }

    private fun arm() {
        if (timer != null) return
        val head = urgent.firstOrNull() ?: others.firstOrNull() ?: return
        val need = minOf(head.cost, burst)
        val waitMs = Math.ceil(maxOf(0.0, need - tokens) / rate * 1000).toLong().coerceAtLeast(1)
        timer =
            loop.after(waitMs) {
                timer = null
                release()
            }
    }

    private fun release() {
        fill()
        while (true) {
            val queue = if (urgent.isNotEmpty()) urgent else others
            val head = queue.firstOrNull() ?: return
            if (!head.continuation.isActive) {
                queue.removeFirst()
                continue
            }
            if (tokens < minOf(head.cost, burst)) return arm()
            queue.removeFirst()
            tokens -= head.cost
            head.continuation.resume(Unit)
        }
    }
}
