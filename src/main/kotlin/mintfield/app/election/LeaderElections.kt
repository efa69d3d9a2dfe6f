package mintfield.app.election

import mintfield.app.leader.Leader
import mintfield.app.sharding.ShardingContext
import mintfield.io.worker.HeartbeatCodec

/** This node's parts in the leaderships that there are: the only one, or one for each share of the machines. */
class LeaderElections(
    val members: List<LeaderElection>,
    private val sharding: ShardingContext?,
) {
    /** The leaders that this node runs. */
    val leaders: List<Leader> get() = members.mapNotNull { it.leader }

    /** Whether it is known of any leadership who holds it. */
    val anyKnown: Boolean get() = members.any { it.known != null }

    fun member(shard: String): LeaderElection? = members.firstOrNull { it.shard?.name == shard }

    /** Who leads [shard], as far as is known here. */
    fun leaderOf(shard: String): String? = member(shard)?.known

    /** The leadership that a worker's heartbeat concerns; null if the machine has no owner. */
    fun forHeartbeat(body: ByteArray): LeaderElection? {
        if (sharding == null) return members.single()
        val machine = HeartbeatCodec.decode(body)?.machine ?: return null
        return sharding.shardFor(machine)?.let(::member)
    }

    /** The terms that this node leads with, by share; the name of the only leadership is empty. */
    fun terms(): Map<String, Long> = members.mapNotNull { m -> m.leader?.let { (m.shard?.name ?: ONLY) to it.scheduler.cluster.term } }.toMap()

    /** The peer [member] leads with [term], the share or the only leadership. */
    fun peerLeads(
        member: String,
        shard: String,
        term: Long,
    ) {
        members.firstOrNull { (it.shard?.name ?: ONLY) == shard }?.peerLeads(member, term)
    }

    companion object {
        /** Stands for the share where there is only one leadership. */
        const val ONLY = ""
    }
}
