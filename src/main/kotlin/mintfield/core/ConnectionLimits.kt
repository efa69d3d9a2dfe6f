package mintfield.core

import mintfield.core.model.Settings

/** How many connections of each kind a controller keeps or opens at once, worked out from the sockets it may have. */
class ConnectionLimits(
    settings: Settings,
) {
    /** Connections of users and workers. */
    val incoming: Int = (settings.maxSockets * Tuning.INCOMING_SOCKET_SHARE).toInt()

    /** Connections of users and workers from which on a worker's is closed after each answer. */
    val shortConnectionsFrom: Int = (incoming * Tuning.SHORT_CONNECTIONS_SHARE).toInt()

    /** Kept connections to workers. */
    val keptToWorkers: Int = (settings.maxSockets * Tuning.WORKER_SOCKET_SHARE).toInt()

    /** Direct commands under way. */
    val directCalls: Int = maxOf(Tuning.LEAST_DIRECT_CALLS, (settings.maxSockets * Tuning.DIRECT_SOCKET_SHARE).toInt())

    /** Reports and requests on their way to one peer. */
    val relayLanes: Int = maxOf(Tuning.RELAY_LANES, (settings.maxSockets * Tuning.RELAY_LANES_PER_SOCKET).toInt())

    /** Connections of peers. */
    val fromPeers: Int =
        maxOf(Tuning.PEER_CONNECTIONS, settings.peers.size * (relayLanes + Tuning.PEER_SPARE_CONNECTIONS))

    /** Machines whose workers can keep their connection here, besides [otherConnections]; more report over short ones. */
    fun machinesKept(otherConnections: Int): Int = maxOf(0, shortConnectionsFrom - otherConnections)
}
