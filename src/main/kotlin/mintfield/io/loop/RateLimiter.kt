package mintfield.io.loop

import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.suspendCancellableCoroutine
import mintfield.core.constants.TimeUnits
import kotlin.coroutines.resume

/**
 * Token bucket: lets through [rate] permits a second with bursts of [burst]. Callers that wait are served in order, the urgent ones
 * before the others. To be used on [loop] only.
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

    /** Permits a second; a change holds from now on. */
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

    /** Lets through, from now on, [rate] permits a second with bursts of [burst]. */
    fun limit(
        rate: Double,
        burst: Double,
    ) {
        this.rate = rate
        this.burst = burst
    }

    /** Permits that could be taken without waiting; none while others wait. */
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

    /** Waits for [cost] permits and takes them; more than a burst holds are granted once the bucket is full. */
    suspend fun acquire(
        cost: Double = 1.0,
        urgentCall: Boolean = false,
    ) {
        fill()
        if (tokens >= cost && urgent.isEmpty() && (urgentCall || others.isEmpty())) {
            tokens -= cost
            return
        }
        suspendCancellableCoroutine { continuation ->
            (if (urgentCall) urgent else others).addLast(Waiter(cost, continuation))
            arm()
        }
    }

    private fun fill() {
        val now = System.nanoTime()
        tokens = minOf(burst, tokens + (now - filledAt) / NANOS_PER_S * rate)
        filledAt = now
    }

    private fun arm() {
        if (timer != null) return
        val head = urgent.firstOrNull() ?: others.firstOrNull() ?: return
        val need = minOf(head.cost, burst)
        val waitMs = Math.ceil(maxOf(0.0, need - tokens) / rate * TimeUnits.MS_PER_SECOND).toLong().coerceAtLeast(1)
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

    private companion object {
        const val NANOS_PER_S = 1e9
    }
}
