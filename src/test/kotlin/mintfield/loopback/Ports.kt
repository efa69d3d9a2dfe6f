package mintfield.loopback

import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Allocates listening ports for controllers, below the ephemeral range. A free port of the ephemeral range can be assigned to an
 * outgoing connection before the controller listens on it.
 */
internal object Ports {
    private const val FIRST = 20_000
    private const val COUNT = 10_000
    private val nextOffset = AtomicInteger((ProcessHandle.current().pid() * 100 % COUNT).toInt())

    /** Returns a port that is currently free, and that was not returned among the last 10,000. */
    fun next(): Int {
        while (true) {
            val port = FIRST + nextOffset.getAndIncrement() % COUNT
            if (isFree(port)) return port
        }
    }

    /** Whether a server can currently listen on [port]. */
    fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (_: IOException) {
            false
        }
}
