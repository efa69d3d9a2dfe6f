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
 * Client for one host with a small pool of idle connections. Every call has a time limit; a call that fails on a pooled connection is
 * not repeated here, since only the caller knows whether it may be sent twice.
 *
 * To be used on [loop] only. A cancelled call closes its connection.
 *
 * @property maxIdle connections that are kept for later calls
 * @property maxBody bytes of a response body above which the response is dropped
 */
class HttpClient(
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
    private val address: InetSocketAddress,
    private val maxIdle: Int,
    private val maxBody: Int = HttpConstants.MAX_RESPONSE_BYTES,
) {
    private class Connection(
        val channel: AsynchronousSocketChannel,
        val parser: HttpParser,
        val input: ByteBuffer,
        var usedAtMs: Long,
    )

    /** A call under way: its time limit closes whichever channel it has by then. */
    private class Call {
        var channel: AsynchronousSocketChannel? = null
        var sent = false
        var timedOut = false

        fun closeChannel() {
            channel?.closeQuietly()
        }
    }

    private val idle = ArrayDeque<Connection>()
    private val host = address.address.hostAddress + ":" + address.port

    /** Closes the pooled connections. */
    fun closeIdle() {
        while (true) (idle.removeLastOrNull() ?: return).channel.closeQuietly()
    }

    /** Sends a request and awaits the response for at most [timeoutMs] in all. */
    suspend fun call(
        method: String,
        path: String,
        body: ByteArray? = null,
        timeoutMs: Long,
    ): Reply {
        val pooled = takeIdle()
        val call = Call()
        call.channel = pooled?.channel
        val timer =
            loop.after(timeoutMs) {
                call.timedOut = true
                call.closeChannel()
            }
        try {
            return exchange(call, pooled ?: connect(call), message(head(method, path, body), body ?: NO_BODY))
        } catch (e: IOException) {
            call.closeChannel()
            return Reply.None(call.sent, if (call.timedOut) "no answer in $timeoutMs ms" else e.toString())
        } catch (e: HttpFault) {
            call.closeChannel()
            return Reply.None(call.sent, "bad answer: ${e.message}", tooLarge = e.status == HttpStatus.CONTENT_TOO_LARGE)
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
        channel.open(address)
        val parser = HttpParser(HttpConstants.MAX_HEAD_BYTES, maxBody, response = true)
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
    ): Reply.Answer {
        call.sent = true
        connection.channel.sendAll(request)
        val response = receive(connection)
        if (response.keepAlive && idle.size < maxIdle) {
            connection.usedAtMs = loop.nowMs()
            idle.addLast(connection)
        } else {
            connection.channel.closeQuietly()
        }
        return Reply.Answer(response.status, response.body)
    }

    private suspend fun receive(connection: Connection): HttpMessage {
        while (true) {
            connection.parser.next()?.let { return it }
            connection.input.clear()
            if (connection.channel.receive(connection.input) < 0) throw IOException("closed")
            connection.input.flip()
            connection.parser.feed(connection.input)
        }
    }

    private fun takeIdle(): Connection? {
        while (true) {
            val connection = idle.removeLastOrNull() ?: return null
            // A connection that has been idle for long may have been dropped on the way without notice.
            if (loop.nowMs() - connection.usedAtMs < HttpConstants.CLIENT_IDLE_TIMEOUT_MS) return connection
            connection.channel.closeQuietly()
        }
    }

    private companion object {
        const val INITIAL_HEAD_CHARS = 96
        val NO_BODY = ByteArray(0)
    }
}
