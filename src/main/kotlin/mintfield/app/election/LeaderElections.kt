package mintfield.app.election

import mintfield.app.leader.Leader
import mintfield.app.sharding.ShardingContext
import mintfield.io.worker.HeartbeatCodec

/** The elections that this process takes part in: one for all machines, or one for each shard. */
class LeaderElections(
    /** All elections, in the order of the shards in the settings. */
    val all: List<LeaderElection>,
    private val sharding: ShardingContext?,
) {
    /** The leaders that run in this process. */
    val leaders: List<Leader> get() = all.mapNotNull { it.leader }

    /** Whether the leader of any election is known. */
    val isAnyLeaderKnown: Boolean get() = all.any { it.knownLeader != null }

    /** The election of the leader of [shard]; null if there is no such shard. */
    fun ofShard(shard: String): LeaderElection? = all.firstOrNull { it.shard?.name == shard }

    /** The controller that leads [shard], as far as this process knows; null if unknown. */
    fun leaderOf(shard: String): String? = ofShard(shard)?.knownLeader

    /** The election whose leader responds to the heartbeat in [body]; null if no shard owns the machine, or the heartbeat is unreadable. */
    fun forHeartbeat(body: ByteArray): LeaderElection? {
        if (sharding == null) return all.single()
        val machine = HeartbeatCodec.decode(body)?.machine ?: return null
        return sharding.servingShardOf(machine)?.let(::ofShard)
    }

    /** The terms of the leaders in this process, by the name of the shard, or by [UNSHARDED] if there are no shards. */
    fun terms(): Map<String, Long> {
        val terms = LinkedHashMap<String, Long>()
        for (election in all) election.leader?.let { terms[nameOf(election)] = it.scheduler.cluster.term }
        return terms
    }

    /** Handles the notice of [peer] that it leads [shard] with [term]. A leader in this process with a lower term is deposed. */
    fun peerLeads(
        peer: String,
        shard: String,
        term: Long,
    ) {
        all.firstOrNull { nameOf(it) == shard }?.peerLeads(peer, term)
    }

    /** Lowers the write rate of the leaders in this process for a limited time, as users' writes wait for the store. */
    fun yieldToUsers() = leaders.forEach { it.yieldToUsers() }

    private fun nameOf(election: LeaderElection): String = election.shard?.name ?: UNSHARDED

    /** Holds the name of the election in a cluster without shards. */
    companion object {
        /** Takes the place of the shard's name if there are no shards. */
        const val UNSHARDED = ""
    }
}
