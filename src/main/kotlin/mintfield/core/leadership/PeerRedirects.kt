package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/**
 * Decides where a controller that cannot reach the leader redirects workers. The next controller in a worker's own order may be the
 * stalled leader, where the worker would wait for its timeout. Each worker is therefore redirected to a reachable peer once, and then
 * follows its own order for [PeerConstants.REDIRECT_BACKOFF_MS], because it may be able to reach the leader itself.
 */
class PeerRedirects {
    private val redirectedAtMs = HashMap<String, Long>()

    /** Returns [peer] if the worker of [machine] is to be redirected to it now, else null. A non-null result counts as a redirect. */
    fun redirectTarget(
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
