package mintfield.io.http

import kotlinx.coroutines.CancellationException
import mintfield.core.constants.HttpConstants
import mintfield.io.loop.EventLoop
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/**
 * HTTP/1.1 client for one host with a small pool of idle connections. Every call has a timeout. The client never retries a call, not even
 * one that fails on a pooled connection, since only the caller knows whether a request may be sent twice.
 *
 * May be used on [loop] only. Cancelling a call closes its connection.
 *
 * @property maxIdleConnections maximum number of connections kept open for later calls
 * @property maxBodyBytes maximum size of a response body; responses with longer bodies are dropped
 */
class HttpClient(
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
    private val address: InetSocketAddress,
    private val maxIdleConnections: Int,
    private val maxBodyBytes: Int = HttpConstants.MAX_RESPONSE_BYTES,
) {
    private class Connection(
        val channel: AsynchronousSocketChannel,
        val parser: HttpParser,
        val input: ByteBuffer,
        var lastUsedAtMs: Long,
    )

    /** A call in progress. Its timeout closes the channel that the call uses at that time, if any. */
    private class Call {
        var channel: AsynchronousSocketChannel? = null
        var sent = false
        var timedOut = false

        fun closeChannel() {
            channel?.closeQuietly()
        }
    }

    private val idleConnections = ArrayDeque<Connection>()
    private val host = address.address.hostAddress + ":" + address.port

    /** Closes the pooled connections. */
    fun closeIdle() {
        while (true) (idleConnections.removeLastOrNull() ?: return).channel.closeQuietly()
    }

    /** Sends a request and waits for the response. [timeoutMs] covers the whole call, including connecting. */
    suspend fun call(
        method: String,
        path: String,
        body: ByteArray? = null,
        timeoutMs: Long,
    ): HttpResult {
        val pooled = takeIdle()
        val call = Call()
        call.channel = pooled?.channel
        val timer =
            loop.schedule(timeoutMs) {
                call.timedOut = true
                call.closeChannel()
            }
        try {
            return exchange(call, pooled ?: connect(call), message(head(method, path, body), body ?: NO_BODY))
        } catch (e: IOException) {
            call.closeChannel()
            return HttpResult.NoResponse(call.sent, if (call.timedOut) "no response within $timeoutMs ms" else e.toString())
        } catch (e: HttpFault) {
            call.closeChannel()
            return HttpResult.NoResponse(call.sent, "invalid response: ${e.message}", tooLarge = e.status == HttpStatus.CONTENT_TOO_LARGE)
        } catch (e: CancellationException) {
            call.closeChannel()
            throw e
        } finally {
            timer.cancel()
        }
    }

    private suspend fun connect(call: Call): Connection {
        val channel = AsynchronousSocketChannel.open(group)
        call.channel = channel
        channel.setOption(StandardSocketOptions.TCP_NODELAY, true)
        channel.connectTo(address)
        val parser = HttpParser(HttpConstants.MAX_HEAD_BYTES, maxBodyBytes, response = true)
        return Connection(channel, parser, ByteBuffer.allocate(HttpConstants.CLIENT_READ_BYTES), loop.nowMs())
    }

    private fun head(
        method: String,
        path: String,
        body: ByteArray?,
    ): CharSequence {
        val head = StringBuilder(INITIAL_HEAD_CHARS)
        head
            .append(method)
            .append(' ')
            .append(path)
            .append(" HTTP/1.1\r\nHost: ")
            .append(host)
        if (body != null) head.append("\r\nContent-Type: application/json")
        return head.append("\r\nContent-Length: ").append(body?.size ?: 0).append("\r\n\r\n")
    }

    private suspend fun exchange(
        call: Call,
        connection: Connection,
        request: ByteBuffer,
    ): HttpResult.Received {
        call.sent = true
        connection.channel.sendAll(request)
        val response = receive(connection)
        if (response.keepAlive && idleConnections.size < maxIdleConnections) {
            connection.lastUsedAtMs = loop.nowMs()
            idleConnections.addLast(connection)
        } else {
            connection.channel.closeQuietly()
        }
        return HttpResult.Received(response.status, response.body)
    }

    private suspend fun receive(connection: Connection): HttpMessage {
        while (true) {
            connection.parser.next()?.let { return it }
            connection.input.clear()
            if (connection.channel.receive(connection.input) < 0) throw IOException("connection closed before the response was complete")
            connection.input.flip()
            connection.parser.feed(connection.input)
        }
    }

    private fun takeIdle(): Connection? {
        while (true) {
            val connection = idleConnections.removeLastOrNull() ?: return null
            // A connection that has been idle for long may have been dropped by the network without notice.
            if (loop.nowMs() - connection.lastUsedAtMs < HttpConstants.CLIENT_IDLE_TIMEOUT_MS) return connection
            connection.channel.closeQuietly()
        }
    }

    private companion object {
        const val INITIAL_HEAD_CHARS = 96
        val NO_BODY = ByteArray(0)
    }
}
