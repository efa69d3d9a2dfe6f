package mintfield.io.http

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.core.constants.HttpConstants
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel

class Response(
    val status: Int,
    val body: ByteArray,
    val retryAfterS: Int? = null,
    val allow: String? = null,
    val close: Boolean = false,
) {
    /** The same answer, after which the connection is closed. */
    fun closing() = Response(status, body, retryAfterS, allow, close = true)

    companion object {
        fun error(
            status: Int,
            reason: String,
            retryAfterS: Int? = null,
        ) = Response(status, Json.obj { writeStringField("error", reason) }, retryAfterS)
    }
}

/** Serves HTTP/1.1 on one address; bounded in connections, in time a peer may take, and in message size. */
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

    /** Connections that are open now. */
    val connectionCount: Int get() = connections.size

    val port: Int get() = (listener.localAddress as InetSocketAddress).port

    fun start(address: InetSocketAddress) {
        listener = listen(address)
        scope.launch { acceptAll() }
        scope.launch { sweep() }
    }

    /** Starts as soon as [address] is free: what holds it may let it go, and a controller that serves nobody would be of no use. */
    suspend fun startWhenFree(address: InetSocketAddress) {
        var tries = 0
        while (true) {
            try {
                return start(address)
            } catch (e: IOException) {
                if (tries++ % BIND_LOG_EVERY == 0) Log.error("$address cannot be listened on: ${e.message}; it is tried again")
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

    /** Closes connections that rest for too long, or take too long over a message. */
    private suspend fun sweep() {
        while (true) {
            delay(HttpConstants.SERVER_TIMEOUT_CHECK_MS)
            val now = loop.nowMs()
            for (c in connections) if (now > c.closeAtMs) c.channel.closeQuietly()
        }
    }

    /**
     * Connections that are waiting are taken several at a time, ahead of other events: each used to wait for its turn behind
     * all that was queued, and after a failover workers lost their leases in the kernel's queue.
     */
    private suspend fun acceptAll() {
        var inRow = 0
        while (true) {
            val ahead = ++inRow % HttpConstants.MAX_CONSECUTIVE_ACCEPTS != 0
            val channel =
                try {
                    listener.next { accept -> if (ahead) loop.ahead(accept) else accept() }
                } catch (e: IOException) {
                    Log.debug("accept failed: $e")
                    delay(HttpConstants.ACCEPT_BACKOFF_MS)
                    continue
                }
            if (connections.size >= maxConnections) {
                channel.closeQuietly()
                continue
            }
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
            val response =
                try {
                    handler(request)
                } catch (e: RuntimeException) {
                    Log.error("${request.first} ${request.second} failed: $e at ${e.stackTrace.take(5)}")
                    Response.error(500, "internal error")
                }
            val close = response.close || !request.keepAlive
            write(connection, response, close)
            if (close) return
        }
    }

    private suspend fun read(
        connection: Connection,
        parser: HttpParser,
        input: ByteBuffer,
    ): HttpMessage? {
        parser.next()?.let { return it }
        // An idle connection may rest; one that has begun a message must finish it soon.
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
        val head = StringBuilder(128)
        head
            .append("HTTP/1.1 ")
            .append(response.status)
            .append(' ')
            .append(reason(response.status))
        head.append("\r\nContent-Type: application/json\r\nContent-Length: ").append(response.body.size)
        response.retryAfterS?.let { head.append("\r\nRetry-After: ").append(it) }
        response.allow?.let { head.append("\r\nAllow: ").append(it) }
        if (close) head.append("\r\nConnection: close")
        head.append("\r\n\r\n")
        connection.closeAtMs = loop.nowMs() + HttpConstants.SERVER_MESSAGE_TIMEOUT_MS
        connection.channel.sendAll(message(head, response.body))
    }

    private companion object {
        /** Tries to listen between two lines in the log. */
        const val BIND_LOG_EVERY = 40
    }

    private fun reason(status: Int) =
        when (status) {
            200 -> "OK"
            201 -> "Created"
            400 -> "Bad Request"
            404 -> "Not Found"
            405 -> "Method Not Allowed"
            409 -> "Conflict"
            413 -> "Content Too Large"
            421 -> "Misdirected Request"
            422 -> "Unprocessable Content"
            429 -> "Too Many Requests"
            431 -> "Request Header Fields Too Large"
            501 -> "Not Implemented"
            503 -> "Service Unavailable"
            else -> "Status"
        }
}

internal fun message(
    head: CharSequence,
    body: ByteArray,
): ByteBuffer {
    val bytes = head.toString().toByteArray(Charsets.ISO_8859_1)
    val whole = ByteBuffer.allocate(bytes.size + body.size)
    whole.put(bytes).put(body).flip()
    return whole
}
