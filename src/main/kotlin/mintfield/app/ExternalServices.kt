package mintfield.app

import mintfield.core.ConnectionLimits
import mintfield.core.constants.FleetConstants
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.io.cloud.CloudClient
import mintfield.io.cloud.CloudResult
import mintfield.io.http.HttpClient
import mintfield.io.http.parseAddress
import mintfield.io.loop.EventLoop
import mintfield.io.loop.RateLimiter
import mintfield.io.store.StoreClient
import java.nio.channels.AsynchronousChannelGroup

/** The systems outside, as this node reaches them. */
class ExternalServices(
    val settings: Settings,
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
) {
    /** Controllers that may call the cloud at the same time: all, where each leads a share. */
    private val callers = if (settings.operator.sharding == null) 1 else settings.peers.size + 1
    val store =
        StoreClient(
            client(settings.stateAddress, STORE_CONNECTIONS),
            client(settings.stateAddress, 2),
            RateLimiter(loop, settings.stateRps * STORE_SHARE, settings.stateRps * STORE_SHARE),
        )
    val cloud =
        CloudClient(
            client(settings.cloudAddress, 1),
            RateLimiter(loop, settings.cloudRps * FleetConstants.CLOUD_CALL_FRACTION / callers, settings.cloudRps / callers),
        )
    val metrics = Metrics()

    /** What the store permits now, as far as this node knows. */
    val stateLimits = StateLimitsInForce(settings)
    val types = LinkedHashMap<String, MachineType>()
    private val maxWorkers = ConnectionLimits(settings).keptToWorkers
    private val workers = LinkedHashMap<String, HttpClient>(16, 0.75f, true)

    suspend fun readTypes() {
        (cloud.types() as? CloudResult.Ok)?.value?.forEach { types[it.name] = it }
    }

    fun client(
        address: String,
        maxIdle: Int,
    ) = HttpClient(loop, group, requireNotNull(parseAddress(address)), maxIdle)

    /** The client for a worker; one connection each is kept. */
    fun worker(address: String): HttpClient? {
        workers[address]?.let { return it }
        val parsed = parseAddress(address) ?: return null
        val fresh = HttpClient(loop, group, parsed, maxIdle = 1)
        workers[address] = fresh
        if (workers.size > maxWorkers) {
            val eldest = workers.entries.iterator().next()
            eldest.value.closeIdle()
            workers.remove(eldest.key)
        }
        return fresh
    }

    private companion object {
        const val STORE_CONNECTIONS = 6

        /** One node's part of the permitted requests. */
        const val STORE_SHARE = 0.45
    }
}
