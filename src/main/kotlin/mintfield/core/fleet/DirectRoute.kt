package mintfield.core.fleet

/** The route by which the leader calls a worker itself, instead of waiting for its next heartbeat. Times are steady milliseconds. */
class DirectRoute {
    /** Whether a call is under way; there is never more than one for a machine. */
    var inFlight = false
        private set

    /** No call is made before this moment. */
    var pausedUntilMs = 0L
        private set

    /** Whether the last heartbeat came by way of a peer, so that a direct call would most likely not arrive. */
    var relayed = false
        private set

    /** Whether it came that way because the worker was referred to that peer; it can then be called all the same. */
    var viaRelayPeer = false
        private set

    /** Whether the last heartbeat speaks against calling the worker itself. */
    val isUnlikely: Boolean get() = relayed && !viaRelayPeer

    /** A heartbeat came, [relayed] by a peer or not, and if so perhaps because the worker was referred to it ([viaRelayPeer]). */
    fun heartbeatCame(
        relayed: Boolean,
        viaRelayPeer: Boolean,
    ) {
        this.relayed = relayed
        this.viaRelayPeer = viaRelayPeer
    }

    /** A call is about to be sent. */
    fun callStarted() {
        inFlight = true
    }

    /** The call was answered or given up. */
    fun callEnded() {
        inFlight = false
    }

    /** Makes no call before [untilMs]. */
    fun pauseUntil(untilMs: Long) {
        pausedUntilMs = untilMs
    }
}
