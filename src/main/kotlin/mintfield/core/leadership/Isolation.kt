package mintfield.core.leadership

import mintfield.core.Tuning

/** What a controller may not do because it is cut off, by what it hears of the state service and its siblings. */
class Isolation(
    private val store: StoreReach,
    private val siblings: SiblingHearing,
) {
    /** Cut off from the state service, and no sibling to be heard: whoever comes here had better go elsewhere. */
    fun isCutOff(nowMs: Long): Boolean = store.cut(nowMs) && !siblings.hearsAny(nowMs)

    /** Whether the state service has refused this controller for a while although it serves a sibling. */
    fun isRefusedAlone(nowMs: Long): Boolean = store.unservedForLong(nowMs) && siblings.served(nowMs) != null

    /**
     * Whether a leader with [leaseLeftMs] of its lease left must send workers away. One past its lease goes on answering in an outage, so
     * that the workers keep theirs. One that reaches neither the state service nor a sibling may be cut off alone: then its answers hold
     * workers that a successor waits for.
     */
    fun sendsWorkersAway(
        leaseLeftMs: Long,
        nowMs: Long,
    ): Boolean = leaseLeftMs < -Tuning.ISOLATED_MS && store.unservedForLong(nowMs) && !siblings.hearsAny(nowMs)
}
