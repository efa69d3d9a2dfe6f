package mintfield.core.ownership

import mintfield.core.Tuning

/** What a controller knows of its siblings when it decides who should lead a share. */
interface Siblings {
    val names: Collection<String>

    /** Whether [sibling] has been heard lately, and the state service serves it. */
    fun isUpAndServed(sibling: String): Boolean
}

/**
 * Which controller should lead a share: its home, if that is up and not drained; else one that is not drained and leads few shares; a
 * drained one only if nobody else does. Says when [member] should stand for a share, and when it should give one up.
 */
class ShareSuccession(
    private val member: String,
    private val siblings: Siblings,
    /** The controllers that operators have drained. */
    private val drained: () -> Set<String>,
) {
    private val successorSinceMs = HashMap<String, Long>()
    private var lastDrainMs = Long.MIN_VALUE / 2

    /** Milliseconds to wait before standing for [share] while leading [led] others, so that whoever should lead it goes first. */
    fun standDelayMs(
        share: ShareSettings,
        led: Int,
    ): Long =
        when {
            member in drained() -> Tuning.DRAINED_STAND_MS
            share.home == member -> 0
            share.home in drained() -> led * Tuning.LED_SHARE_STAND_MS
            else -> Tuning.HOME_FIRST_MS + led * Tuning.LED_SHARE_STAND_MS
        }

    /** Why [share], which this controller leads, is to be given up now; null if it is not. */
    fun reasonToGiveUp(
        share: ShareSettings,
        nowMs: Long,
    ): String? = if (member in drained()) drain(share, nowMs) else returnHome(share, nowMs)

    private fun drain(
        share: ShareSettings,
        nowMs: Long,
    ): String? {
        val successor = siblings.names.any { it !in drained() && siblings.isUpAndServed(it) }
        if (!heldFor(Tuning.DRAIN_HOLD_MS, share, successor, nowMs) || nowMs - lastDrainMs < Tuning.DRAIN_STEP_MS) return null
        lastDrainMs = nowMs
        return "$member is drained"
    }

    private fun returnHome(
        share: ShareSettings,
        nowMs: Long,
    ): String? {
        val successor = share.home != member && share.home !in drained() && siblings.isUpAndServed(share.home)
        return if (heldFor(Tuning.HOME_RETURN_MS, share, successor, nowMs)) "${share.home} is up, the home of ${share.name}" else null
    }

    /** Whether there has been a successor for [forMs]; after that, another try comes no sooner than in the same time again. */
    private fun heldFor(
        forMs: Long,
        share: ShareSettings,
        successor: Boolean,
        nowMs: Long,
    ): Boolean {
        if (!successor) {
            successorSinceMs.remove(share.name)
            return false
        }
        val since = successorSinceMs.getOrPut(share.name) { nowMs }
        if (nowMs - since < forMs) return false
        successorSinceMs[share.name] = nowMs
        return true
    }
}
