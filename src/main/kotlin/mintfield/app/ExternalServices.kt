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

/** The clients of this controller for the store, the cloud and the workers, with their rate limits. */
class ExternalServices(
    val settings: Settings,
    private val loop: EventLoop,
    private val group: AsynchronousChannelGroup,
) {
    /** Number of controllers that share the rate limit of the cloud: one leader without sharding, all controllers with it. */
    private val cloudCallers = if (settings.operator.sharding == null) 1 else settings.peers.size + 1

    val store =
        StoreClient(
            client(settings.stateAddress, STORE_CONNECTIONS),
            client(settings.stateAddress, STORE_WATCH_CONNECTIONS),
            RateLimiter(loop, settings.stateRps * STORE_RATE_FRACTION, settings.stateRps * STORE_RATE_FRACTION),
        )
    val cloud =
        CloudClient(
            client(settings.cloudAddress, 1),
            RateLimiter(loop, settings.cloudRps * FleetConstants.CLOUD_CALL_FRACTION / cloudCallers, settings.cloudRps / cloudCallers),
        )
    val metrics = Metrics()

    /** The limits of the store that this controller currently assumes. */
    val stateLimits = StateLimitsInForce(settings)

    /** The machine types, by name. Empty until [readTypes] has succeeded once. */
    val types = LinkedHashMap<String, MachineType>()
    private val workers = WorkerClients(ConnectionLimits(settings).pooledWorkerConnections) { HttpClient(loop, group, it, maxIdleConnections = 1) }

    /** Reads the machine types from the cloud into [types], which stays unchanged if the call fails. Does not retry. */
    suspend fun readTypes() {
        (cloud.types() as? CloudResult.Ok)?.value?.forEach { types[it.name] = it }
    }

    /** Creates a client for the configured [address] that keeps up to [maxIdle] idle connections. Throws if [address] cannot be parsed. */
    fun client(
        address: String,
        maxIdle: Int,
    ) = HttpClient(loop, group, requireNotNull(parseAddress(address)), maxIdle)

    /** The pooled client for the worker at [address]; null if [address] cannot be parsed. */
    fun worker(address: String): HttpClient? = workers.clientFor(address)

    private companion object {
        const val STORE_CONNECTIONS = 6
        const val STORE_WATCH_CONNECTIONS = 2

        /** Fraction of the permitted requests per second that one controller uses. */
        const val STORE_RATE_FRACTION = 0.45
    }
}
