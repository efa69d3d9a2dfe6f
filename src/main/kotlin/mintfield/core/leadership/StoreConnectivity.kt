package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** Whether the store serves this controller, by the outcomes of its calls. All times are in steady milliseconds. Not thread-safe. */
class StoreConnectivity {
    private var unservedSinceMs: Long? = null
    private var noAnswerSinceMs: Long? = null

    /** Whether the store served the last call. */
    val served: Boolean get() = unservedSinceMs == null

    /** The store has carried out a call. */
    fun served() {
        unservedSinceMs = null
        noAnswerSinceMs = null
    }

    /** The store has answered a call and refused it. */
    fun refused(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noAnswerSinceMs = null
    }

    /** A call got no answer. */
    fun noAnswer(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noAnswerSinceMs = noAnswerSinceMs ?: nowMs
    }

    /** Whether the store has not served this controller for a while. */
    fun unservedForLong(nowMs: Long): Boolean = hasLasted(unservedSinceMs, nowMs)

    /** Whether nothing at all has come from the store for a while: unlike an outage, in which it refuses, this is a partition. */
    fun unreachableForLong(nowMs: Long): Boolean = hasLasted(noAnswerSinceMs, nowMs)

    private fun hasLasted(
        sinceMs: Long?,
        nowMs: Long,
    ): Boolean = sinceMs != null && nowMs - sinceMs > PeerConstants.STORE_UNAVAILABLE_MS
}
