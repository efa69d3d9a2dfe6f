package mintfield.core.ownership

import mintfield.core.constants.ShardingConstants

/** What a controller knows of its peers when it decides who should lead a share. */
interface PeerLiveness {
    val names: Collection<String>

    /** Whether [peer] has been heard lately, and the store serves it. */
    fun isUpAndServed(peer: String): Boolean
}

/**
 * Which controller should lead a share: its home, if that is up and not drained; else one that is not drained and leads few shares; a
 * drained one only if nobody else does. Says when [member] should stand for a share, and when it should give one up.
 */
class ShardSuccession(
    private val member: String,
    private val peers: PeerLiveness,
    /** The controllers that operators have drained. */
    private val drained: () -> Set<String>,
) {
    private val successorSinceMs = HashMap<String, Long>()
    private var lastDrainMs = Long.MIN_VALUE / 2

    /** Milliseconds to wait before standing for [shard] while leading [led] others, so that whoever should lead it goes first. */
    fun campaignDelayMs(
        shard: ShardSettings,
        led: Int,
    ): Long =
        when {
            member in drained() -> ShardingConstants.DRAINED_CAMPAIGN_DELAY_MS
            shard.home == member -> 0
            shard.home in drained() -> led * ShardingConstants.LED_SHARD_CAMPAIGN_DELAY_MS
            else -> ShardingConstants.HOME_HEAD_START_MS + led * ShardingConstants.LED_SHARD_CAMPAIGN_DELAY_MS
        }

    /** Why [shard], which this controller leads, is to be given up now; null if it is not. */
    fun reasonToTransfer(
        shard: ShardSettings,
        nowMs: Long,
    ): String? = if (member in drained()) drain(shard, nowMs) else returnHome(shard, nowMs)

    private fun drain(
        shard: ShardSettings,
        nowMs: Long,
    ): String? {
        val successor = peers.names.any { it !in drained() && peers.isUpAndServed(it) }
        if (!heldFor(ShardingConstants.DRAIN_SUCCESSOR_STABLE_MS, shard, successor, nowMs) ||
            nowMs - lastDrainMs < ShardingConstants.DRAIN_INTERVAL_MS
        ) {
            return null
        }
        lastDrainMs = nowMs
        return "$member is drained"
    }

    private fun returnHome(
        shard: ShardSettings,
        nowMs: Long,
    ): String? {
        val successor = shard.home != member && shard.home !in drained() && peers.isUpAndServed(shard.home)
        return if (heldFor(ShardingConstants.HOME_STABLE_MS, shard, successor, nowMs)) "${shard.home} is up, the home of ${shard.name}" else null
    }

    /** Whether there has been a successor for [forMs]; after that, another try comes no sooner than in the same time again. */
    private fun heldFor(
        forMs: Long,
        shard: ShardSettings,
        successor: Boolean,
        nowMs: Long,
    ): Boolean {
        if (!successor) {
            successorSinceMs.remove(shard.name)
            return false
        }
        val since = successorSinceMs.getOrPut(shard.name) { nowMs }
        if (nowMs - since < forMs) return false
        successorSinceMs[shard.name] = nowMs
        return true
    }
}
