package mintfield.io.http

import kotlinx.coroutines.CancellationException
import mintfield.core.constants.HttpConstants
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import java.io.IOException
import java.net.InetSocketAddress
import java.net.StandardSocketOptions
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousChannelGroup
import java.nio.channels.AsynchronousSocketChannel

/** What became of a call. */
sealed interface Reply {
    class Answer(
        val status: Int,
        val body: ByteArray,
    ) : Reply {
        val json: Map<String, Any?> by lazy(LazyThreadSafetyMode.NONE) { Json.parseObject(body) ?: emptyMap() }
    }

    /** No answer. Only with [sent] false is it certain that the request was not and will not be executed. */
    class None(
        val sent: Boolean,
        val reason: String,
        /** An answer came that is longer than the client takes. */
        val tooLarge: Boolean = false,
    ) : Reply
}

/**
 * Client with a small pool of kept connections for one host. Every call has a time limit; a call that fails on
 * a kept connection is not repeated here, since only the caller knows whether that would be right.
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

    private val idle = ArrayDeque<Connection>()
    private val host = address.address.hostAddress + ":" + address.port

    fun closeIdle() {
        while (true) (idle.removeLastOrNull() ?: return).channel.closeQuietly()
    }

    suspend fun call(
        method: String,
        path: String,
        body: ByteArray? = null,
        timeoutMs: Long,
    ): Reply {
        var connection: Connection? = takeIdle()
        var sent = false
        var channel = connection?.channel
        var timedOut = false
        val timer =
            loop.after(timeoutMs) {
                timedOut = true
                channel?.closeQuietly()
            }
        try {
            if (connection == null) {
                val fresh = AsynchronousSocketChannel.open(group)
                channel = fresh
                fresh.setOption(StandardSocketOptions.TCP_NODELAY, true)
                fresh.open(address)
                connection =
                    Connection(
                        fresh,
                        HttpParser(HttpConstants.MAX_HEAD_BYTES, maxBody, response = true),
                        ByteBuffer.allocate(HttpConstants.CLIENT_READ_BYTES),
                        loop.nowMs(),
                    )
            }
            val head = StringBuilder(96)
            head
                .append(method)
                .append(' ')
                .append(path)
                .append(" HTTP/1.1\r\nHost: ")
                .append(host)
            if (body != null) head.append("\r\nContent-Type: application/json")
            head.append("\r\nContent-Length: ").append(body?.size ?: 0).append("\r\n\r\n")
            sent = true
            connection.channel.sendAll(message(head, body ?: ByteArray(0)))
            val answer = answer(connection)
            if (answer.keepAlive && idle.size < maxIdle) {
                connection.usedAtMs = loop.nowMs()
                idle.addLast(connection)
            } else {
                connection.channel.closeQuietly()
            }
            return Reply.Answer(answer.second.toInt(), answer.body)
        } catch (e: IOException) {
            channel?.closeQuietly()
            return Reply.None(sent, if (timedOut) "no answer in $timeoutMs ms" else e.toString())
        } catch (e: HttpFault) {
            channel?.closeQuietly()
            return Reply.None(sent, "bad answer: ${e.message}", tooLarge = e.status == HttpFault.TOO_LARGE)
        } catch (e: CancellationException) {
            channel?.closeQuietly()
            throw e
        } finally {
            timer.cancel()
        }
    }

    private suspend fun answer(connection: Connection): HttpMessage {
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
            // A connection that has rested long may have been dropped on the way without a word.
            if (loop.nowMs() - connection.usedAtMs < HttpConstants.CLIENT_IDLE_TIMEOUT_MS) return connection
            connection.channel.closeQuietly()
        }
    }
}
