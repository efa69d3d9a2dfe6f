package mintfield.app

import mintfield.io.http.HttpClient
import mintfield.io.http.parseAddress
import java.net.InetSocketAddress

/** An LRU cache of HTTP clients for workers, by address. The least recently used client beyond [capacity] is removed and its idle connection closed. */
internal class WorkerClients(
    private val capacity: Int,
    private val connect: (InetSocketAddress) -> HttpClient,
) {
    private val clients = LinkedHashMap<String, HttpClient>(INITIAL_CAPACITY, LOAD_FACTOR, true)

    /** The client for the worker at [address], created on first use; null if [address] cannot be parsed. */
    fun clientFor(address: String): HttpClient? {
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
