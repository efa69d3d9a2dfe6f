package mintfield.golden

import kotlinx.coroutines.launch
import mintfield.io.http.HttpClient
import mintfield.io.loop.EventLoop
import mintfield.io.loop.RateLimiter
import mintfield.io.loop.scope
import mintfield.loopback.await
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** A loopback server that responds to requests with canned responses in order, and records the bytes of the requests. */
class RecordedCalls : AutoCloseable {
    class CannedResponse(
        val status: Int,
        val body: String = "{}",
    )

    private val socket = ServerSocket(0, 10, LOOPBACK.address)
    private val requests = ConcurrentLinkedQueue<String>()
    private val responses = ConcurrentLinkedQueue<CannedResponse>()
    val loop = EventLoop().also { it.start() }
    val scope = loop.scope()
    val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    val address = "127.0.0.1:${socket.localPort}"
    val client = HttpClient(loop, group, InetSocketAddress(LOOPBACK.address, socket.localPort), 0)
    val rateLimiter = RateLimiter(loop, 1_000.0, 1_000.0)

    init {
        thread(isDaemon = true) {
            while (!socket.isClosed) runCatching { socket.accept().use(::serve) }
        }
    }

    private fun serve(connection: Socket) {
        val input = connection.getInputStream()
        val request = StringBuilder()
        while (!request.endsWith(HEAD_END)) request.append(input.read().also { check(it >= 0) }.toChar())
        val length = Regex("Content-Length: (\\d+)").find(request)!!.groupValues[1].toInt()
        requests.add(request.toString().replace(":${socket.localPort}\r\n", ":PORT\r\n") + String(input.readNBytes(length)))
        val next = responses.remove()
        val body = next.body.toByteArray()
        val head = "HTTP/1.1 ${next.status} Status\r\nContent-Length: ${body.size}\r\nConnection: close$HEAD_END"
        connection.getOutputStream().run {
            write(head.toByteArray() + body)
            flush()
        }
    }

    /** Returns the result of [call] when its requests get [given], in order; all of them must be used. */
    fun <T> respondingWith(
        vararg given: CannedResponse,
        call: suspend () -> T,
    ): T {
        responses.addAll(given)
        val result = CompletableFuture<Result<T>>()
        loop.post { scope.launch { result.complete(runCatching { call() }) } }
        return result.get(TIMEOUT_S, TimeUnit.SECONDS).getOrThrow().also { check(responses.isEmpty()) { "${responses.size} responses not requested" } }
    }

    /** Runs [send], whose completion cannot be awaited, and waits until its request has got [given]. */
    fun respondingOnceWith(
        given: CannedResponse,
        send: () -> Unit,
    ) {
        responses.add(given)
        loop.post(send)
        await("the request has arrived") { responses.isEmpty() }
    }

    /** Returns and forgets the requests recorded so far, in order, each followed by an empty line. */
    fun takeRequests(): ByteArray = generateSequence { requests.poll() }.joinToString("") { it + "\n\n" }.toByteArray()

    override fun close() {
        socket.close()
        loop.stop()
    }

    private companion object {
        val LOOPBACK = InetSocketAddress("127.0.0.1", 0)
        const val HEAD_END = "\r\n\r\n"
        const val TIMEOUT_S = 20L
    }
}
