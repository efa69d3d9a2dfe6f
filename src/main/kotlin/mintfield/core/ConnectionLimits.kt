package mintfield.core

import mintfield.core.constants.HttpConstants
import mintfield.core.constants.PeerConstants
import mintfield.core.constants.WorkerConstants
import mintfield.core.model.Settings

/** How many connections of each kind a controller keeps or opens at once: each kind has its part of the sockets that it may have. */
class ConnectionLimits(
    settings: Settings,
) {
    /** Connections of users and workers. */
    val incoming: Int = (settings.maxSockets * HttpConstants.INCOMING_SOCKET_FRACTION).toInt()

    /** With this many connections of users and workers or more, a worker's is closed after each answer. */
    val shortConnectionsFrom: Int = (incoming * HttpConstants.KEEP_ALIVE_FRACTION).toInt()

    /** Idle connections to workers that are kept. */
    val keptToWorkers: Int = (settings.maxSockets * WorkerConstants.WORKER_POOL_SOCKET_FRACTION).toInt()

    /** Direct commands under way at once. */
    val directCalls: Int = maxOf(WorkerConstants.MIN_DIRECT_COMMANDS, (settings.maxSockets * WorkerConstants.DIRECT_COMMAND_SOCKET_FRACTION).toInt())

    /** Heartbeats and user requests that are relayed to one peer at once. */
    val relayLanes: Int = maxOf(PeerConstants.MIN_CONCURRENT_RELAYS, (settings.maxSockets * PeerConstants.CONCURRENT_RELAYS_PER_SOCKET).toInt())

    /** Connections of peers. */
    val fromPeers: Int =
        maxOf(PeerConstants.MIN_PEER_CONNECTIONS, settings.peers.size * (relayLanes + PeerConstants.PEER_SPARE_CONNECTIONS))

    /** Machines whose workers can keep their connection here, besides [otherConnections]; the others connect for each heartbeat. */
    fun machinesKept(otherConnections: Int): Int = maxOf(0, shortConnectionsFrom - otherConnections)
}
