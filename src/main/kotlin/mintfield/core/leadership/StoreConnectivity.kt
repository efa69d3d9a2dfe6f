package mintfield.core.leadership

import mintfield.core.constants.PeerConstants

/** Whether the store serves this controller, by what became of its calls. */
class StoreConnectivity {
    private var unservedSinceMs: Long? = null
    private var noAnswerSinceMs: Long? = null

    /** Whether it served the last call. */
    val served: Boolean get() = unservedSinceMs == null

    /** It did its work. */
    fun served() {
        unservedSinceMs = null
        noAnswerSinceMs = null
    }

    /** It answered, and refused. */
    fun refused(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noAnswerSinceMs = null
    }

    /** There was no answer. */
    fun noAnswer(nowMs: Long) {
        unservedSinceMs = unservedSinceMs ?: nowMs
        noAnswerSinceMs = noAnswerSinceMs ?: nowMs
    }

    /** Whether it has not served this controller for a while. */
    fun unservedForLong(nowMs: Long): Boolean = unservedSinceMs?.let { nowMs - it > PeerConstants.STORE_UNAVAILABLE_MS } ?: false

    /** Whether nothing at all has come from it for a while: unlike an outage, in which it refuses, this is a cut. */
    fun cut(nowMs: Long): Boolean = noAnswerSinceMs?.let { nowMs - it > PeerConstants.STORE_UNAVAILABLE_MS } ?: false
}
