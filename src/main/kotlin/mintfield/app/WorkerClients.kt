package mintfield.app

import mintfield.io.http.HttpClient
import mintfield.io.http.parseAddress
import java.net.InetSocketAddress

/** The HTTP clients for workers, each of which keeps one connection. With more than [capacity] the least recently used is closed. */
internal class WorkerClients(
    private val capacity: Int,
    private val connect: (InetSocketAddress) -> HttpClient,
) {
    private val clients = LinkedHashMap<String, HttpClient>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The client for the worker at [address]; null if that is not an address. */
    fun at(address: String): HttpClient? {
        clients[address]?.let { return it }
        val client = connect(parseAddress(address) ?: return null)
        clients[address] = client
        if (clients.size > capacity) {
            val eldest = clients.entries.iterator().next()
            eldest.value.closeIdle()
            clients.remove(eldest.key)
        }
        return client
    }

    private companion object {
        const val INITIAL_CAPACITY = 16
        const val LOAD_FACTOR = 0.75f
    }
}
