package mintfield.loopback

import kotlinx.coroutines.CompletableDeferred
import mintfield.io.http.HttpMessage
import mintfield.io.loop.EventLoop
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** One request to [FaultyStore] that is applied on arrival and whose response is held back until [release]. */
class HeldResponse(
    internal val client: String,
    internal val matches: (HttpMessage) -> Boolean,
    private val loop: EventLoop,
) {
    private val released = CompletableDeferred<Unit>()
    private val applied = CountDownLatch(1)

    /** Whether the store has applied the request. */
    val isApplied get() = applied.count == 0L

    /** Waits until the store has applied the request; fails after [TIMEOUT_S] seconds. */
    fun awaitApplied() = check(applied.await(TIMEOUT_S, TimeUnit.SECONDS)) { "no matching request within $TIMEOUT_S s" }

    /** Sends the response. */
    fun release() = loop.post { released.complete(Unit) }

    /** Marks the request as applied and suspends until [release]. Called on the loop. */
    internal suspend fun awaitRelease() {
        applied.countDown()
        released.await()
    }

    private companion object {
        const val TIMEOUT_S = 20L
    }
}
