package mintfield.core.ownership

import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine

/**
 * Decides when the controller [member] campaigns for a shard and when it transfers one. The leader of a shard should be its home if that is
 * up and not drained, otherwise a controller that is not drained and leads few shards, and a drained controller only if no other leads.
 */
class ShardSuccession(
    private val member: String,
    private val peers: PeerLiveness,
    /** Returns the names of the drained controllers. */
    private val drained: () -> Set<String>,
) {
    private val successorSinceMs = HashMap<String, Long>()
    private var lastDrainMs = Machine.NEVER

    /** Milliseconds to wait before a campaign for [shard] while leading [ledShards] others, so that preferred controllers campaign first. */
    fun campaignDelayMs(
        shard: ShardSettings,
        ledShards: Int,
    ): Long =
        when {
            member in drained() -> ShardingConstants.DRAINED_CAMPAIGN_DELAY_MS
            shard.home == member -> 0
            shard.home in drained() -> ledShards * ShardingConstants.LED_SHARD_CAMPAIGN_DELAY_MS
            else -> ShardingConstants.HOME_HEAD_START_MS + ledShards * ShardingConstants.LED_SHARD_CAMPAIGN_DELAY_MS
        }

    /** The transfer of [shard], which this controller leads; null if none is due. Must be polled, since stability is measured between calls. */
    fun transferDue(
        shard: ShardSettings,
        nowMs: Long,
    ): LeadershipTransfer? = if (member in drained()) drain(shard, nowMs) else returnHome(shard, nowMs)

    private fun drain(
        shard: ShardSettings,
        nowMs: Long,
    ): LeadershipTransfer? {
        val hasSuccessor = peers.names.any { it !in drained() && peers.isUpAndServed(it) }
        val stable = hasStableSuccessor(shard, hasSuccessor, ShardingConstants.DRAIN_SUCCESSOR_STABLE_MS, nowMs)
        if (!stable || nowMs - lastDrainMs < ShardingConstants.DRAIN_INTERVAL_MS) return null
        lastDrainMs = nowMs
        return LeadershipTransfer.Drained(member)
    }

    private fun returnHome(
        shard: ShardSettings,
        nowMs: Long,
    ): LeadershipTransfer? {
        val hasSuccessor = shard.home != member && shard.home !in drained() && peers.isUpAndServed(shard.home)
        val stable = hasStableSuccessor(shard, hasSuccessor, ShardingConstants.HOME_STABLE_MS, nowMs)
        return if (stable) LeadershipTransfer.HomeIsUp(shard.home, shard.name) else null
    }

    /** Whether [shard] has had a successor for [stableMs]. A result of true restarts the period. */
    private fun hasStableSuccessor(
        shard: ShardSettings,
        hasSuccessor: Boolean,
        stableMs: Long,
        nowMs: Long,
    ): Boolean {
        if (!hasSuccessor) {
            successorSinceMs.remove(shard.name)
            return false
        }
        val since = successorSinceMs.getOrPut(shard.name) { nowMs }
        if (nowMs - since < stableMs) return false
        successorSinceMs[shard.name] = nowMs
        return true
    }
}
