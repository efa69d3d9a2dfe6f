package mintfield.io.http

import com.google.common.net.InetAddresses
import kotlinx.coroutines.CancellableContinuation
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.suspendCancellableCoroutine
import java.io.IOException
import java.net.Inet4Address
import java.net.InetSocketAddress
import java.net.SocketAddress
import java.nio.ByteBuffer
import java.nio.channels.AsynchronousServerSocketChannel
import java.nio.channels.AsynchronousSocketChannel
import java.nio.channels.CompletionHandler
import kotlin.coroutines.ContinuationInterceptor

/**
 * Coroutine forms of the NIO.2 channel operations. Cancelling one closes its channel.
 *
 * Completions arrive as events of the loop that the coroutine runs on, so the coroutine goes on within that event: dispatched
 * anew, each operation would wait for its turn in the loop's queue twice.
 */
@OptIn(ExperimentalCoroutinesApi::class)
private class Resume<T> : CompletionHandler<T, CancellableContinuation<T>> {
    override fun completed(
        result: T,
        attachment: CancellableContinuation<T>,
    ) = with(attachment) { dispatcher(this).resumeUndispatched(result) }

    override fun failed(
        exc: Throwable,
        attachment: CancellableContinuation<T>,
    ) = with(attachment) { dispatcher(this).resumeUndispatchedWithException(if (exc is IOException) exc else IOException(exc)) }

    private fun dispatcher(continuation: CancellableContinuation<T>) = continuation.context[ContinuationInterceptor] as CoroutineDispatcher
}

private val resumeInt = Resume<Int>()
private val resumeVoid = Resume<Void?>()
private val resumeChannel = Resume<AsynchronousSocketChannel>()

suspend fun AsynchronousSocketChannel.receive(into: ByteBuffer): Int =
    suspendCancellableCoroutine { c ->
        c.invokeOnCancellation { closeQuietly() }
        read(into, c, resumeInt)
    }

suspend fun AsynchronousSocketChannel.sendAll(bytes: ByteBuffer) {
    while (bytes.hasRemaining()) {
        suspendCancellableCoroutine { c ->
            c.invokeOnCancellation { closeQuietly() }
            write(bytes, c, resumeInt)
        }
    }
}

suspend fun AsynchronousSocketChannel.open(to: SocketAddress) {
    suspendCancellableCoroutine<Void?> { c ->
        c.invokeOnCancellation { closeQuietly() }
        connect(to, c, resumeVoid)
    }
}

/** The next connection; [start] runs the block that asks for it. */
suspend fun AsynchronousServerSocketChannel.next(start: (() -> Unit) -> Unit): AsynchronousSocketChannel =
    suspendCancellableCoroutine { c ->
        start { accept(c, resumeChannel) }
    }

fun AsynchronousSocketChannel.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // Closing is all that was wanted.
    }
}

/** `10.0.0.1:8080` as an address; IPv4 numbers only, so that no name is ever looked up. */
fun parseAddress(text: String): InetSocketAddress? {
    val colon = text.lastIndexOf(':')
    if (colon <= 0) return null
    val port = text.substring(colon + 1).toIntOrNull()?.takeIf { it in 1..MAX_PORT } ?: return null
    val host = text.substring(0, colon)
    if (!InetAddresses.isInetAddress(host)) return null
    val address = InetAddresses.forString(host) as? Inet4Address ?: return null
    return InetSocketAddress(address, port)
}

private const val MAX_PORT = 65_535
