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
 * Completions arrive as events of the loop that the coroutine runs on, and resume it within that event: a dispatch would queue each
 * operation a second time.
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

/** Reads what has arrived [into] the buffer; returns the number of bytes, or -1 at the end of the stream. */
suspend fun AsynchronousSocketChannel.receive(into: ByteBuffer): Int =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        read(into, continuation, resumeInt)
    }

/** Writes all remaining [bytes]. */
suspend fun AsynchronousSocketChannel.sendAll(bytes: ByteBuffer) {
    while (bytes.hasRemaining()) {
        suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { closeQuietly() }
            write(bytes, continuation, resumeInt)
        }
    }
}

/** Connects. */
suspend fun AsynchronousSocketChannel.open(to: SocketAddress) {
    suspendCancellableCoroutine<Void?> { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        connect(to, continuation, resumeVoid)
    }
}

/** Accepts the next connection; [start] runs the block that requests it. */
suspend fun AsynchronousServerSocketChannel.next(start: (() -> Unit) -> Unit): AsynchronousSocketChannel =
    suspendCancellableCoroutine { continuation ->
        start { accept(continuation, resumeChannel) }
    }

/** Closes the channel; that it is closed or broken already does not matter. */
fun AsynchronousSocketChannel.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // Closing is all that was wanted.
    }
}

/** [text], such as `10.0.0.1:8080`, as an address; null if it is none. Only IPv4 numbers, so that no name is ever looked up. */
fun parseAddress(text: String): InetSocketAddress? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT }
    val host = text.substringBeforeLast(':', "").takeIf { InetAddresses.isInetAddress(it) }
    val address = host?.let(InetAddresses::forString) as? Inet4Address
    return if (address == null || port == null) null else InetSocketAddress(address, port)
}

private const val MAX_PORT = 65_535
