package mintfield.app.election

import mintfield.app.leader.Leader
import mintfield.app.sharding.ShardingContext
import mintfield.io.worker.HeartbeatCodec

/** The elections that this process takes part in: one, or one for each shard of the machines. */
class LeaderElections(
    /** All elections, in the order of the shards in the settings. */
    val members: List<LeaderElection>,
    private val sharding: ShardingContext?,
) {
    /** The leaders that run in this process. */
    val leaders: List<Leader> get() = members.mapNotNull { it.leader }

    /** Whether the leader of any election is known. */
    val anyKnown: Boolean get() = members.any { it.known != null }

    /** The election of the leader of [shard]; null if there is no such shard. */
    fun member(shard: String): LeaderElection? = members.firstOrNull { it.shard?.name == shard }

    /** The member that leads [shard], as far as is known here; null if none is known. */
    fun leaderOf(shard: String): String? = member(shard)?.known

    /** The election whose leader answers the heartbeat in [body]; null if its machine has no owner. */
    fun forHeartbeat(body: ByteArray): LeaderElection? {
        if (sharding == null) return members.single()
        val machine = HeartbeatCodec.decode(body)?.machine ?: return null
        return sharding.servingShardOf(machine)?.let(::member)
    }

    /** The terms that this process leads with, by shard, or by [ONLY] if there are no shards. */
    fun terms(): Map<String, Long> {
        val terms = LinkedHashMap<String, Long>()
        for (election in members) election.leader?.let { terms[nameOf(election)] = it.scheduler.cluster.term }
        return terms
    }

    /** [peer] leads [shard] with [term]. */
    fun peerLeads(
        peer: String,
        shard: String,
        term: Long,
    ) {
        members.firstOrNull { nameOf(it) == shard }?.peerLeads(peer, term)
    }

    /** Writes of users wait for the state service: the leaders here leave them room for a while. */
    fun yieldToUsers() = leaders.forEach { it.yieldToUsers() }

    private fun nameOf(election: LeaderElection): String = election.shard?.name ?: ONLY

    /** The name of the election where there are no shards. */
    companion object {
        /** Stands in place of a shard's name. */
        const val ONLY = ""
    }
}
