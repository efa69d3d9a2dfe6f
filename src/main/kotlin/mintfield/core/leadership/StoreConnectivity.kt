package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** Tracks whether the store serves this controller, from the outcomes of its calls. Times are in milliseconds of a monotonic clock. Not thread-safe. */
class StoreConnectivity {
    private var unservedSinceMs: Long? = null
    private var noResponseSinceMs: Long? = null

    /** Whether the store served the last call. */
    val served: Boolean get() = unservedSinceMs == null

    /** Records that the store carried out a call. */
    fun onServed() {
        unservedSinceMs = null
        noResponseSinceMs = null
    }

    /** Records that the store responded to a call with a refusal. */
    fun onRefused(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noResponseSinceMs = null
    }

    /** Records that a call got no response. */
    fun onNoResponse(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noResponseSinceMs = noResponseSinceMs ?: nowMs
    }

    /** Whether the store has not served this controller for longer than [PeerConstants.STORE_UNAVAILABLE_MS]. */
    fun unservedForLong(nowMs: Long): Boolean = hasLasted(unservedSinceMs, nowMs)

    /**
     * Whether the store is partitioned from this controller: no response for longer than [PeerConstants.STORE_UNAVAILABLE_MS]. In an
     * outage the store refuses calls instead.
     */
    fun unreachableForLong(nowMs: Long): Boolean = hasLasted(noResponseSinceMs, nowMs)

    private fun hasLasted(
        sinceMs: Long?,
        nowMs: Long,
    ): Boolean = sinceMs != null && nowMs - sinceMs > PeerConstants.STORE_UNAVAILABLE_MS
}
