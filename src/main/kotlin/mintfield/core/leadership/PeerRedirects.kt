package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides where a worker is redirected that comes to a controller which cannot reach the leader. The next controller in the worker's own order
 * may be that leader, stalled, where the worker would wait for its timeout. So it is redirected to a reachable peer once, and then left to
 * its own order for a while, as it may reach the leader itself.
 */
class PeerRedirects {
    private val redirectedAtMs = HashMap<String, Long>()

    /** [peer] if the worker of [machine] is to be redirected to it now, else null. A result other than null counts as a redirect. */
    fun offer(
        machine: String,
        peer: String?,
        nowMs: Long,
    ): String? {
        if (peer == null) return null
        val lastMs = redirectedAtMs[machine]
        if (lastMs != null && nowMs - lastMs < PeerConstants.REDIRECT_BACKOFF_MS) return null
        redirectedAtMs[machine] = nowMs
        return peer
    }
}
