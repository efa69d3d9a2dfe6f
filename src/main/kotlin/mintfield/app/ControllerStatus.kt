package mintfield.app

import mintfield.app.api.JobProgressView
import mintfield.app.api.UserWriteBatcher
import mintfield.app.election.LeaderElections
import mintfield.app.peer.LocalStatus
import mintfield.app.sharding.ShardingContext
import mintfield.core.leadership.CancellationPage
import mintfield.core.leadership.CancellationWatermark
import mintfield.core.ownership.ShardLoad
import mintfield.io.loop.EventLoop

/** This controller's status for its peers, gathered from its components, and their confirmed cancellations in return. */
internal class ControllerStatus(
    private val loop: EventLoop,
    private val elections: LeaderElections,
    private val progress: JobProgressView,
    private val userWrites: UserWriteBatcher,
    private val sharding: ShardingContext?,
    private val cancellationWatermark: CancellationWatermark,
) : LocalStatus {
    override fun leadingTerms() = elections.terms()

    override fun progressOfLedJobs() = progress.ofLedJobs()

    override fun isCongested() = userWrites.congested

    override fun loadOf(shard: String): ShardLoad? {
        val shardLeader = elections.member(shard)?.leader?.shardLeader
        val load = shardLeader?.load() ?: return null
        // Leaders of other shards in this process learn the load here, as peers do from the status message.
        sharding?.recordLoad(shard, load)
        return load
    }

    override fun cancellationsRead(peer: String) = cancellationWatermark.positionOf(peer)

    override fun cancellationsReceived(
        peer: String,
        page: CancellationPage,
        askedAtMs: Long,
    ) {
        cancellationWatermark.pageReceived(peer, page, askedAtMs, loop.nowMs())
        for (leader in elections.leaders) page.ids.forEach { leader.scheduler.cancellationConfirmedByPeer(it, loop.nowMs()) }
    }
}
