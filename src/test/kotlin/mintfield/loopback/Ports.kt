package mintfield.loopback

import java.io.IOException
import java.net.ServerSocket
import java.util.concurrent.atomic.AtomicInteger

/**
 * Ports for controllers, below those that the system gives to outgoing connections: a port of these that was found free is at
 * times taken by a connection before the controller listens on it.
 */
internal object Ports {
    private const val FIRST = 20_000
    private const val COUNT = 10_000
    private val taken = AtomicInteger((ProcessHandle.current().pid() * 100 % COUNT).toInt())

    /** A port that is free now and was not given before. */
    fun next(): Int {
        while (true) {
            val port = FIRST + taken.getAndIncrement() % COUNT
            if (isFree(port)) return port
        }
    }

    /** Whether a server could listen on [port]. */
    fun isFree(port: Int): Boolean =
        try {
            ServerSocket(port).close()
            true
        } catch (_: IOException) {
            false
        }
}
