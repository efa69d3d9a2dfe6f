package mintfield.core

import mintfield.core.constants.HttpConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.Settings

/** Limits on a controller's concurrent connections of each kind, derived from the number of sockets that it may use. */
class ConnectionLimits(
    settings: Settings,
) {
    /** Maximum number of incoming connections from users and workers. */
    val incoming: Int = (settings.maxSockets * HttpConstants.INCOMING_SOCKET_FRACTION).toInt()

    /** Number of incoming connections from which worker connections are closed after each response. */
    val keepAliveLimit: Int = (incoming * HttpConstants.KEEP_ALIVE_FRACTION).toInt()

    /** Maximum number of idle connections to workers kept in the pool. */
    val pooledWorkerConnections: Int = (settings.maxSockets * WorkerConstants.WORKER_POOL_SOCKET_FRACTION).toInt()

    /** Maximum number of concurrent direct calls to workers. */
    val directCalls: Int = maxOf(WorkerConstants.MIN_DIRECT_CALLS, (settings.maxSockets * WorkerConstants.DIRECT_CALL_SOCKET_FRACTION).toInt())

    /** Maximum number of heartbeats and user requests relayed to one peer at once. */
    val maxConcurrentRelays: Int = maxOf(PeerConstants.MIN_CONCURRENT_RELAYS, (settings.maxSockets * PeerConstants.CONCURRENT_RELAYS_PER_SOCKET).toInt())

    /** Maximum number of incoming connections from peers. */
    val peerConnections: Int =
        maxOf(PeerConstants.MIN_PEER_CONNECTIONS, settings.peers.size * (maxConcurrentRelays + PeerConstants.PEER_SPARE_CONNECTIONS))

    /** Maximum number of workers that can keep a connection open besides [otherConnections]. Further workers reconnect for each heartbeat. */
    fun maxKeepAliveMachines(otherConnections: Int): Int = maxOf(0, keepAliveLimit - otherConnections)
}
