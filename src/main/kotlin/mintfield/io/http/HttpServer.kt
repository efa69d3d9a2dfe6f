package mintfield.io.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.core.constants.HttpConstants
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel

/**
 * HTTP/1.1 server on one address, with limits on the number of connections, the message size and the time a peer may take.
 *
 * Requests on one connection are handled one after the other, those on different connections concurrently, all on [loop]. The response
 * has status 500 if the handler throws a [RuntimeException].
 */
class HttpServer(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val group: AsynchronousChannelGroup,
    private val maxConnections: Int,
    private val handler: suspend (HttpMessage) -> Response,
) {
    private class Connection(
        val channel: AsynchronousSocketChannel,
        var closeAtMs: Long,
    )

    private val connections = LinkedHashSet<Connection>()
    private lateinit var listener: AsynchronousServerSocketChannel

    /** Number of open connections. */
    val connectionCount: Int get() = connections.size

    /** The port that the server listens on. Useful if it was started with port 0, so that the system chose the port. */
    val port: Int get() = (listener.localAddress as InetSocketAddress).port

    /**
     * Starts listening on [address].
     *
     * @throws IOException if the address cannot be bound
     */
    fun start(address: InetSocketAddress) {
        listener = listen(address)
        scope.launch { acceptConnections() }
        scope.launch { closeTimedOut() }
    }

    /** Starts listening on [address], with retries while it cannot be bound, for example because the process being replaced still uses it. */
    suspend fun startWhenFree(address: InetSocketAddress) {
        var attempts = 0
        while (true) {
            try {
                return start(address)
            } catch (e: IOException) {
                if (attempts++ % BIND_FAILURES_PER_LOG_LINE == 0) Log.error("$address: bind failed, will be retried: ${e.message}")
                delay(HttpConstants.BIND_RETRY_MS)
            }
        }
    }

    private fun listen(address: InetSocketAddress): AsynchronousServerSocketChannel {
        val opened = AsynchronousServerSocketChannel.open(group)
        try {
            opened.setOption(StandardSocketOptions.SO_REUSEADDR, true)
            return opened.bind(address, maxOf(HttpConstants.MIN_ACCEPT_BACKLOG, maxConnections))
        } catch (e: IOException) {
            opened.close()
            throw e
        }
    }

    /** Periodically closes the connections that have been idle for too long or take too long to transfer a message. */
    private suspend fun closeTimedOut() {
        while (true) {
            delay(HttpConstants.SERVER_TIMEOUT_CHECK_MS)
            val now = loop.nowMs()
            for (connection in connections) if (now > connection.closeAtMs) connection.channel.closeQuietly()
        }
    }

    /**
     * Accepts connections, several in a row before other events are handled. After a failover all workers connect within a second; if each
     * accept waited behind all queued events, a worker could lose its lease while its connection is still in the kernel's backlog.
     */
    private suspend fun acceptConnections() {
        var accepted = 0
        while (true) {
            val prioritized = ++accepted % HttpConstants.MAX_CONSECUTIVE_ACCEPTS != 0
            val channel = accept(prioritized)
            when {
                channel == null -> delay(HttpConstants.ACCEPT_BACKOFF_MS)
                connections.size >= maxConnections -> channel.closeQuietly()
                else -> startServing(channel)
            }
        }
    }

    /** Accepts the next connection; null if that fails, for example for lack of sockets. */
    private suspend fun accept(prioritized: Boolean): AsynchronousSocketChannel? =
        try {
            listener.acceptNext { accept -> if (prioritized) loop.prioritizeCompletion(accept) else accept() }
        } catch (e: IOException) {
            Log.debug("accept failed: $e")
            null
        }

    private fun startServing(channel: AsynchronousSocketChannel) {
        val connection = Connection(channel, loop.nowMs() + HttpConstants.SERVER_IDLE_TIMEOUT_MS)
        connections.add(connection)
        scope.launch {
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                serve(connection)
            } catch (_: IOException) {
                // The peer closed the connection, so there is nobody to respond to.
            } finally {
                connections.remove(connection)
                channel.closeQuietly()
            }
        }
    }

    private suspend fun serve(connection: Connection) {
        val parser = HttpParser(HttpConstants.MAX_HEAD_BYTES, HttpConstants.MAX_BODY_BYTES, response = false)
        val input = ByteBuffer.allocate(HttpConstants.SERVER_READ_BYTES)
        while (true) {
            val request =
                try {
                    read(connection, parser, input) ?: return
                } catch (fault: HttpFault) {
                    write(connection, Response.error(fault.status, fault.message ?: "bad request"), close = true)
                    return
                }
            val response = handle(request)
            val close = response.close || !request.keepAlive
            write(connection, response, close)
            if (close) return
        }
    }

    @Suppress("TooGenericExceptionCaught") // The client gets a response and the connection stays open, whichever exception a handler throws.
    private suspend fun handle(request: HttpMessage): Response =
        try {
            handler(request)
        } catch (e: RuntimeException) {
            Log.error("${request.method} ${request.path} failed: $e at ${e.stackTrace.take(LOGGED_FRAMES)}")
            Response.error(HttpStatus.INTERNAL_SERVER_ERROR, "internal error")
        }

    private suspend fun read(
        connection: Connection,
        parser: HttpParser,
        input: ByteBuffer,
    ): HttpMessage? {
        parser.next()?.let { return it }
        // The idle timeout applies until the first bytes of a message arrive, then the shorter message timeout.
        connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_IDLE_TIMEOUT_MS
        var started = false
        while (true) {
            input.clear()
            if (connection.channel.receive(input) < 0) return null
            input.flip()
            parser.feed(input)
            parser.next()?.let {
                connection.closeAtMs = Long.MAX_VALUE
                return it
            }
            if (!started) connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_MESSAGE_TIMEOUT_MS
            started = true
        }
    }

    private suspend fun write(
        connection: Connection,
        response: Response,
        close: Boolean,
    ) {
        val head = StringBuilder(INITIAL_HEAD_CHARS)
        head
            .append("HTTP/1.1 ")
            .append(response.status)
            .append(' ')
            .append(HttpStatus.reasonPhrase(response.status))
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(response.body.size)
        response.retryAfterS?.let { head.append("\r\nRetry-After: ").append(it) }
        response.allow?.let { head.append("\r\nAllow: ").append(it) }
        if (close) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_MESSAGE_TIMEOUT_MS
        connection.channel.sendAll(message(head, response.body))
    }

    private companion object {
        /** One of this many failed attempts to bind is logged. */
        const val BIND_FAILURES_PER_LOG_LINE = 40
        const val LOGGED_FRAMES = 5
        const val INITIAL_HEAD_CHARS = 128
    }
}

/** Joins the head and body of a message in one buffer, so that the message is sent in as few packets as possible. */
internal fun message(
    head: CharSequence,
    body: ByteArray,
): ByteBuffer {
    val bytes = head.toString().toByteArray(Charsets.ISO_8859_1)
    val buffer = ByteBuffer.allocate(bytes.size + body.size)
    buffer.put(bytes).put(body).flip()
    return buffer
}
