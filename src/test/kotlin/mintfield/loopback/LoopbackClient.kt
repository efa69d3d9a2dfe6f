package mintfield.loopback

import kotlinx.coroutines.launch
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import java.net.InetSocketAddress
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture

/** Sends requests to controllers, each on a connection of its own; called from other threads than the loop's. */
class LoopbackClient(
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
) {
    private val scope = loop.scope()

    /** Sends a request and returns without waiting for the reply, which fails after [timeoutMs] milliseconds. */
    fun send(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
        timeoutMs: Long = USER_TIMEOUT_MS,
    ): CompletableFuture<HttpResult> {
        val reply = CompletableFuture<HttpResult>()
        loop.post {
            scope.launch { reply.complete(HttpClient(loop, group, address, 0).call(method, path, body?.toByteArray(), timeoutMs)) }
        }
        return reply
    }

    /** Sends a request for each of [bodies], all at once, and waits for the replies. */
    fun calls(
        address: InetSocketAddress,
        method: String,
        path: String,
        bodies: List<String>,
    ): List<HttpResult> = bodies.map { send(address, method, path, it) }.map { it.get() }

    /** Sends a request and waits for the reply. */
    fun call(
        address: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResult = send(address, method, path, body).get()

    private companion object {
        /** Milliseconds that a user waits for an answer, as the protocol says. */
        const val USER_TIMEOUT_MS = 5_000L
    }
}
