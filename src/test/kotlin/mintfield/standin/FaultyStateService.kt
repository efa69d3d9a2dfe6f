package mintfield.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import mintfield.app.warmup.InMemoryStateService
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/** What the store does with one request besides carrying it out. */
sealed interface StateFault {
    /** Carried out at once; the answer comes [delayMs] later. */
    data class SlowAnswer(
        val delayMs: Long,
    ) : StateFault

    /** Carried out at once; there is no answer. */
    data object LostAnswer : StateFault

    /** Carried out only after [delayMs], whether or not the client still waits. */
    data class CarriedOutLate(
        val delayMs: Long,
    ) : StateFault

    /** Never carried out, and not answered. */
    data object LostRequest : StateFault

    /** Not carried out, and answered with [status] at once. */
    data class Refused(
        val status: Int,
    ) : StateFault
}

/** The store as one or more controllers meet it: each through a client name of its own, with faults on request. */
class FaultyStateService(
    private val loop: EventLoop,
    private val store: InMemoryStateService,
) {
    /** One request whose answer is held back: it is carried out as soon as it comes. */
    class HeldAnswer(
        internal val client: String,
        internal val matches: (HttpMessage) -> Boolean,
        private val loop: EventLoop,
    ) {
        internal val released = CompletableDeferred<Unit>()
        internal val carriedOut = CountDownLatch(1)

        /** Whether the request has come and was carried out. */
        val hasCome get() = carriedOut.count == 0L

        /** Waits until the request has come and was carried out. */
        fun awaitCarriedOut() = check(carriedOut.await(PATIENCE_S, TimeUnit.SECONDS)) { "no such request came" }

        /** Lets the answer go. */
        fun release() = loop.post { released.complete(Unit) }
    }

    private val held = ConcurrentLinkedQueue<HeldAnswer>()

    /** Chooses the fault of a request that is not held, by its client; null for none. Called on the loop. */
    @Volatile var choose: (String, HttpMessage) -> StateFault? = { _, _ -> null }

    /** Holds back the answer to the next request of [client] that [matches]. */
    fun hold(
        client: String,
        matches: (HttpMessage) -> Boolean,
    ) = HeldAnswer(client, matches, loop).also { held.add(it) }

    /** Answers one request of [client]. */
    suspend fun handle(
        client: String,
        request: HttpMessage,
    ): Response {
        val hold = held.firstOrNull { it.client == client && it.matches(request) }
        if (hold != null) return answerWhenReleased(hold, request)
        return when (val fault = choose(client, request)) {
            null -> store.handle(request)
            is StateFault.SlowAnswer -> store.handle(request).also { delay(fault.delayMs) }
            StateFault.LostAnswer -> store.handle(request).also { delay(BEYOND_ANY_PATIENCE_MS) }
            StateFault.LostRequest -> {
                delay(BEYOND_ANY_PATIENCE_MS)
                Response.error(UNAVAILABLE, "lost")
            }
            is StateFault.CarriedOutLate -> {
                delay(fault.delayMs)
                store.handle(request)
            }
            is StateFault.Refused -> Response.error(fault.status, "refused")
        }
    }

    private suspend fun answerWhenReleased(
        hold: HeldAnswer,
        request: HttpMessage,
    ): Response {
        held.remove(hold)
        val response = store.handle(request)
        hold.carriedOut.countDown()
        hold.released.await()
        return response
    }

    companion object {
        private const val PATIENCE_S = 20L

        /** Milliseconds for which no client waits. */
        private const val BEYOND_ANY_PATIENCE_MS = 20_000L

        private const val TOO_OLD = 410
        private const val TOO_MANY = 429
        private const val UNAVAILABLE = 503

        /** A mix of all faults: [shard] of the requests that concern jobs meet one. */
        fun mix(
            random: Random,
            shard: Double,
        ): (String, HttpMessage) -> StateFault? =
            { _, request ->
                val concernsJobs = request.second == "/txn" || "mf/j/" in request.second
                if (concernsJobs && random.nextDouble() < shard) anyFault(random, request) else null
            }

        private fun anyFault(
            random: Random,
            request: HttpMessage,
        ): StateFault =
            when (random.nextInt(9)) {
                0, 1, 2, 3 -> StateFault.SlowAnswer(random.nextLong(100, 1_400))
                4 -> StateFault.SlowAnswer(random.nextLong(1_400, 6_000))
                5 -> StateFault.LostAnswer
                6 -> StateFault.CarriedOutLate(random.nextLong(100, 6_000))
                7 -> StateFault.Refused(UNAVAILABLE)
                else -> StateFault.Refused(if (request.second.startsWith("/watch")) TOO_OLD else TOO_MANY)
            }
    }
}
