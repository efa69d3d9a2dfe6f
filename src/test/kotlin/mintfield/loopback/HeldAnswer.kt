package mintfield.loopback

import kotlinx.coroutines.CompletableDeferred
import mintfield.io.http.HttpMessage
import mintfield.io.loop.EventLoop
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** One request to [FaultyStore] whose answer is held back; the request is applied as soon as it comes. */
class HeldAnswer(
    internal val client: String,
    internal val matches: (HttpMessage) -> Boolean,
    private val loop: EventLoop,
) {
    private val released = CompletableDeferred<Unit>()
    private val applied = CountDownLatch(1)

    /** Whether the request has come and was applied. */
    val isApplied get() = applied.count == 0L

    /** Waits until the request has come and was applied; fails after [PATIENCE_S] seconds. */
    fun awaitApplied() = check(applied.await(PATIENCE_S, TimeUnit.SECONDS)) { "no such request came" }

    /** Lets the answer go. */
    fun release() = loop.post { released.complete(Unit) }

    /** The store has applied the request; suspends until the answer may go. Called on the loop. */
    internal suspend fun hold() {
        applied.countDown()
        released.await()
    }

    private companion object {
        const val PATIENCE_S = 20L
    }
}
