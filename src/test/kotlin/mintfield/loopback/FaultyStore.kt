package mintfield.loopback

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.warmup.InMemoryStore
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.util.concurrent.ConcurrentLinkedQueue
import kotlin.random.Random

/** Front end of [store] that injects faults into the requests of the controllers, which are distinguished by client names. */
class FaultyStore(
    private val loop: EventLoop,
    private val store: InMemoryStore,
) {
    private val scope = loop.scope()
    private val held = ConcurrentLinkedQueue<HeldResponse>()

    /** Returns the fault to inject into a request of the given client, or null for none; not called for held requests. Called on the loop. */
    @Volatile var chooseFault: (String, HttpMessage) -> StoreFault? = { _, _ -> null }

    /** Milliseconds after which each transaction that was answered reaches the store once more. */
    @Volatile var repeatTransactionsAfterMs: List<Long> = emptyList()

    /** Number of transactions that have reached the store once more. */
    @Volatile var repeatedTransactions = 0
        private set

    /** Holds back the response to the next request of [client] for which [matches] is true. */
    fun hold(
        client: String,
        matches: (HttpMessage) -> Boolean,
    ) = HeldResponse(client, matches, loop).also { held.add(it) }

    /** Responds to one request of [client]. Called on the loop. */
    suspend fun handle(
        client: String,
        request: HttpMessage,
    ): Response {
        val hold = held.firstOrNull { it.client == client && it.matches(request) }
        if (hold != null) {
            held.remove(hold)
            return store.handle(request).also { hold.awaitRelease() }
        }
        return when (val fault = chooseFault(client, request)) {
            null -> store.handle(request).also { if (request.path == "/txn" && it.status == OK) repeat(request) }
            is StoreFault.DelayedResponse -> store.handle(request).also { delay(fault.delayMs) }
            StoreFault.LostResponse -> store.handle(request).also { delay(LONGER_THAN_ANY_TIMEOUT_MS) }
            StoreFault.LostRequest -> {
                delay(LONGER_THAN_ANY_TIMEOUT_MS)
                Response.error(UNAVAILABLE, "lost")
            }
            is StoreFault.AppliedLate -> {
                delay(fault.delayMs)
                store.handle(request)
            }
            is StoreFault.Refused -> Response.error(fault.status, "refused")
        }
    }

    private fun repeat(request: HttpMessage) {
        for (delayMs in repeatTransactionsAfterMs) {
            scope.launch {
                delay(delayMs)
                store.handle(request)
                repeatedTransactions++
            }
        }
    }

    companion object {
        private const val OK = 200

        /** Longer than the timeout of any client. */
        private const val LONGER_THAN_ANY_TIMEOUT_MS = 20_000L

        private const val REVISION_COMPACTED = 410
        private const val TOO_MANY_REQUESTS = 429
        private const val UNAVAILABLE = 503

        /** Chooses a random fault of any kind for each request that concerns jobs, with the given [probability]. */
        fun randomFaults(
            random: Random,
            probability: Double,
        ): (String, HttpMessage) -> StoreFault? =
            { _, request ->
                val concernsJobs = request.path == "/txn" || "mf/j/" in request.path
                if (concernsJobs && random.nextDouble() < probability) randomFault(random, request) else null
            }

        private fun randomFault(
            random: Random,
            request: HttpMessage,
        ): StoreFault =
            when (random.nextInt(9)) {
                0, 1, 2, 3 -> StoreFault.DelayedResponse(random.nextLong(100, 1_400))
                4 -> StoreFault.DelayedResponse(random.nextLong(1_400, 6_000))
                5 -> StoreFault.LostResponse
                6 -> StoreFault.AppliedLate(random.nextLong(100, 6_000))
                7 -> StoreFault.Refused(UNAVAILABLE)
                else -> StoreFault.Refused(if (request.path.startsWith("/watch")) REVISION_COMPACTED else TOO_MANY_REQUESTS)
            }
    }
}
