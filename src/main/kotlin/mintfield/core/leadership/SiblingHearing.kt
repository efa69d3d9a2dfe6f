package mintfield.core.leadership

import mintfield.core.Tuning

/** When each sibling was last heard, and whether the state service served it then. */
class SiblingHearing(
    private val startedAtMs: Long,
) {
    private class Heard(
        val storeServes: Boolean,
        val atMs: Long,
    )

    private val heard = HashMap<String, Heard>()
    private val refusedAtMs = HashMap<String, Long>()

    /** A note of [sibling] has come. */
    fun heard(
        sibling: String,
        storeServes: Boolean,
        nowMs: Long,
    ) {
        heard[sibling] = Heard(storeServes, nowMs)
    }

    /** [sibling] refused a connection. */
    fun refused(
        sibling: String,
        nowMs: Long,
    ) {
        refusedAtMs[sibling] = nowMs
    }

    private fun Heard.isFresh(nowMs: Long) = nowMs - atMs < Tuning.PEER_FRESH_MS

    /** Whether [sibling] has been heard lately. */
    fun hears(
        sibling: String,
        nowMs: Long,
    ): Boolean = heard[sibling]?.isFresh(nowMs) ?: false

    /** Whether any sibling has been heard lately. */
    fun hearsAny(nowMs: Long): Boolean = heard.values.any { it.isFresh(nowMs) }

    /** A sibling other than [leader] that has been heard lately. */
    fun heardBesides(
        leader: String,
        nowMs: Long,
    ): String? = heard.entries.firstOrNull { it.key != leader && it.value.isFresh(nowMs) }?.key

    /** A sibling that has been heard lately and that the state service serves. */
    fun served(nowMs: Long): String? = heard.entries.firstOrNull { it.value.storeServes && it.value.isFresh(nowMs) }?.key

    /** Whether [sibling] has been heard lately, and the state service serves it. */
    fun isServed(
        sibling: String,
        nowMs: Long,
    ): Boolean = hears(sibling, nowMs) && heard.getValue(sibling).storeServes

    /**
     * Whether [sibling] has been silent for longer than a restart takes; right after the start of this controller none is. One that
     * refuses connections is not silent: whoever tries it there is told at once.
     */
    fun isSilent(
        sibling: String,
        nowMs: Long,
    ): Boolean {
        if (nowMs - (refusedAtMs[sibling] ?: startedAtMs) < Tuning.PEER_FRESH_MS) return false
        return nowMs - (heard[sibling]?.atMs ?: startedAtMs) > Tuning.PARK_AFTER_MS
    }
}
