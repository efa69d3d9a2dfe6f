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
 * Completion handler that resumes the coroutine waiting for a NIO.2 channel operation.
 *
 * Completions arrive as events of the loop on which the coroutine runs. The coroutine is resumed within the event: a dispatch would queue
 * each operation a second time.
 */
@OptIn(ExperimentalCoroutinesApi::class)
private class ResumingHandler<T> : CompletionHandler<T, CancellableContinuation<T>> {
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

private val resumeInt = ResumingHandler<Int>()
private val resumeVoid = ResumingHandler<Void?>()
private val resumeChannel = ResumingHandler<AsynchronousSocketChannel>()

/** Waits for data and reads it [into] the buffer. Returns the number of bytes, or -1 at the end of the stream. Cancellation closes the channel. */
suspend fun AsynchronousSocketChannel.receive(into: ByteBuffer): Int =
    suspendCancellableCoroutine { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        read(into, continuation, resumeInt)
    }

/** Writes all remaining [bytes]. Cancellation closes the channel. */
suspend fun AsynchronousSocketChannel.sendAll(bytes: ByteBuffer) {
    while (bytes.hasRemaining()) {
        suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { closeQuietly() }
            write(bytes, continuation, resumeInt)
        }
    }
}

/** Connects to [address]. Cancellation closes the channel. */
suspend fun AsynchronousSocketChannel.connectTo(address: SocketAddress) {
    suspendCancellableCoroutine<Void?> { continuation ->
        continuation.invokeOnCancellation { closeQuietly() }
        connect(address, continuation, resumeVoid)
    }
}

/** Accepts the next connection. [start] is called once and must run the block passed to it, which starts the operation. */
suspend fun AsynchronousServerSocketChannel.acceptNext(start: (() -> Unit) -> Unit): AsynchronousSocketChannel =
    suspendCancellableCoroutine { continuation ->
        start { accept(continuation, resumeChannel) }
    }

/** Closes the channel and ignores errors, also if it is already closed or broken. */
fun AsynchronousSocketChannel.closeQuietly() {
    try {
        close()
    } catch (_: IOException) {
        // The channel is not used again, so a failed close has no consequences.
    }
}

/** Parses an IPv4 address with a port, such as `10.0.0.1:8080`; null if [text] is not one. Host names are refused, so that none is looked up. */
fun parseAddress(text: String): InetSocketAddress? {
    val port = text.substringAfterLast(':', "").toIntOrNull()?.takeIf { it in 1..MAX_PORT }
    val host = text.substringBeforeLast(':', "").takeIf { InetAddresses.isInetAddress(it) }
    val address = host?.let(InetAddresses::forString) as? Inet4Address
    return if (address == null || port == null) null else InetSocketAddress(address, port)
}

private const val MAX_PORT = 65_535
