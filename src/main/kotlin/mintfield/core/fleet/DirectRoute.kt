package mintfield.core.fleet

/** State of the direct calls from the leader to one worker, which need not wait for its next heartbeat. Times are in milliseconds of monotonic time. */
class DirectRoute {
    /** Whether a call is in flight; there is at most one per machine. */
    var inFlight = false
        private set

    /** Time before which no call is made. */
    var pausedUntilMs = 0L
        private set

    /** Whether a peer relayed the last heartbeat: a direct call would then most likely not arrive. */
    var relayed = false
        private set

    /** Whether the last heartbeat was relayed because the worker had been referred to that peer; direct calls can then still reach the worker. */
    var viaRelayPeer = false
        private set

    /** Whether a direct call would most likely fail, judging by the route of the last heartbeat. */
    val isLikelyUnusable: Boolean get() = relayed && !viaRelayPeer

    /** Records the route of a heartbeat: whether a peer [relayed] it, and whether the worker had been referred to that peer ([viaRelayPeer]). */
    fun recordHeartbeat(
        relayed: Boolean,
        viaRelayPeer: Boolean,
    ) {
        this.relayed = relayed
        this.viaRelayPeer = viaRelayPeer
    }

    /** Marks a call as in flight; to be called before it is sent. */
    fun callStarted() {
        inFlight = true
    }

    /** Marks the call as ended, by a response or because it was abandoned. */
    fun callEnded() {
        inFlight = false
    }

    /** Suspends calls until [untilMs]. */
    fun pauseUntil(untilMs: Long) {
        pausedUntilMs = untilMs
    }
}
