package mintfield.app

import mintfield.app.api.JobProgressView
import mintfield.app.api.UserWriteBatcher
import mintfield.app.election.LeaderElections
import mintfield.app.peer.LocalStatus
import mintfield.app.sharding.ShardingContext
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.ConfirmedCancellations
import mintfield.core.ownership.ShardLoad
import mintfield.io.loop.EventLoop

/** Collects the status of this controller for its peers from its components, and passes on the confirmed cancellations in their responses. */
internal class ControllerStatus(
    private val loop: EventLoop,
    private val elections: LeaderElections,
    private val progress: JobProgressView,
    private val userWrites: UserWriteBatcher,
    private val sharding: ShardingContext?,
    private val cancellations: ConfirmedCancellations,
) : LocalStatus {
    override fun leadingTerms() = elections.terms()

    override fun progressOfLedJobs() = progress.ofLedJobs()

    override fun isCongested() = userWrites.congested

    override fun loadOf(shard: String): ShardLoad? {
        val shardLeader = elections.ofShard(shard)?.leader?.shardLeader
        val load = shardLeader?.load() ?: return null
        // The leaders of other shards in this process receive no status message of this controller, so they get the load here.
        sharding?.recordLoad(shard, load)
        return load
    }

    override fun cancellationsRead(peer: String) = cancellations.watermark.positionOf(peer)

    override fun cancellationsReceived(
        peer: String,
        page: CancellationPage,
        sentAtMs: Long,
    ) = cancellations.confirmedByPeer(peer, page, sentAtMs, loop.nowMs())
}
