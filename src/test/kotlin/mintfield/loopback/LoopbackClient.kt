package mintfield.loopback

import kotlinx.coroutines.launch
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.net.InetSocketAddress
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture

/** HTTP client for controllers that opens a connection per request. Must be called from outside the event loop's thread. */
class LoopbackClient(
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
) {
    private val scope = loop.scope()

    /** Sends a request without waiting; the future completes with the response, or with no response after [timeoutMs]. */
    fun send(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
        timeoutMs: Long = USER_TIMEOUT_MS,
    ): CompletableFuture<HttpResult> {
        val result = CompletableFuture<HttpResult>()
        loop.post {
            scope.launch { result.complete(HttpClient(loop, group, address, 0).call(method, path, body?.toByteArray(), timeoutMs)) }
        }
        return result
    }

    /** Sends one request per element of [bodies] concurrently and waits for all results. */
    fun callAll(
        address: InetSocketAddress,
        method: String,
        path: String,
        bodies: List<String>,
    ): List<HttpResult> = bodies.map { send(address, method, path, it) }.map { it.get() }

    /** Sends a request and waits for the result. */
    fun call(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResult = send(address, method, path, body).get()

    private companion object {
        /** Time that a user waits for a response, as the protocol specifies. */
        const val USER_TIMEOUT_MS = 5_000L
    }
}
