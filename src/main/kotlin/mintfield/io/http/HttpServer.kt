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
 * Serves HTTP/1.1 on one address; bounded in connections, in the time that a peer may take, and in message size.
 *
 * Requests of one connection are handled one after the other, those of different connections concurrently, all on [loop]. A handler
 * that throws is answered for with 500.
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

    /** Connections that are open. */
    val connectionCount: Int get() = connections.size

    /** The port that is served; of use where the address left the choice to the system. */
    val port: Int get() = (listener.localAddress as InetSocketAddress).port

    /**
     * Starts to serve [address].
     *
     * @throws IOException if it cannot be listened on
     */
    fun start(address: InetSocketAddress) {
        listener = listen(address)
        scope.launch { acceptAll() }
        scope.launch { closeTimedOut() }
    }

    /** Starts to serve [address] as soon as it is free. Another process may hold it for a while, such as the one that this replaces. */
    suspend fun startWhenFree(address: InetSocketAddress) {
        var attempts = 0
        while (true) {
            try {
                return start(address)
            } catch (e: IOException) {
                if (attempts++ % BIND_LOG_EVERY == 0) Log.error("$address cannot be listened on: ${e.message}; it is tried again")
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

    /** Closes connections that are idle for too long, or take too long over a message. */
    private suspend fun closeTimedOut() {
        while (true) {
            delay(HttpConstants.SERVER_TIMEOUT_CHECK_MS)
            val now = loop.nowMs()
            for (connection in connections) if (now > connection.closeAtMs) connection.channel.closeQuietly()
        }
    }

    /**
     * Accepts connections, several in a row ahead of other events: after a failover all workers connect within a second, and one that
     * waited for its turn behind all that is queued could lose its lease in the kernel's backlog.
     */
    private suspend fun acceptAll() {
        var accepted = 0
        while (true) {
            val ahead = ++accepted % HttpConstants.MAX_CONSECUTIVE_ACCEPTS != 0
            val channel = accept(ahead)
            when {
                channel == null -> delay(HttpConstants.ACCEPT_BACKOFF_MS)
                connections.size >= maxConnections -> channel.closeQuietly()
                else -> begin(channel)
            }
        }
    }

    /** The next connection, or null if accepting failed, as it does for lack of sockets. */
    private suspend fun accept(ahead: Boolean): AsynchronousSocketChannel? =
        try {
            listener.next { accept -> if (ahead) loop.ahead(accept) else accept() }
        } catch (e: IOException) {
            Log.debug("accept failed: $e")
            null
        }

    private fun begin(channel: AsynchronousSocketChannel) {
        val connection = Connection(channel, loop.nowMs() + HttpConstants.SERVER_IDLE_TIMEOUT_MS)
        connections.add(connection)
        scope.launch {
            try {
                channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
                serve(connection)
            } catch (_: IOException) {
                // The peer went away; nothing is owed to it.
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

    @Suppress("TooGenericExceptionCaught") // Whatever a handler fails with, its client is owed an answer and the connection goes on.
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
        // An idle connection may wait; one that has begun a message must complete it soon.
        connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_IDLE_TIMEOUT_MS
        var begun = false
        while (true) {
            input.clear()
            if (connection.channel.receive(input) < 0) return null
            input.flip()
            parser.feed(input)
            parser.next()?.let {
                connection.closeAtMs = Long.MAX_VALUE
                return it
            }
            if (!begun) connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_MESSAGE_TIMEOUT_MS
            begun = true
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
        /** Failed attempts to listen between two lines in the log. */
        const val BIND_LOG_EVERY = 40
        const val LOGGED_FRAMES = 5
        const val INITIAL_HEAD_CHARS = 128
    }
}

/** A whole message in one buffer, so that it is sent in as few packets as possible. */
internal fun message(
    head: CharSequence,
    body: ByteArray,
): ByteBuffer {
    val bytes = head.toString().toByteArray(Charsets.ISO_8859_1)
    val whole = ByteBuffer.allocate(bytes.size + body.size)
    whole.put(bytes).put(body).flip()
    return whole
}
