package mintfield.app.sharding

import kotlinx.coroutines.delay
import mintfield.app.election.LeaderElection
import mintfield.app.election.LeaderElections
import mintfield.core.constants.PeerConstants
import mintfield.core.ownership.ShardSuccession
import mintfield.io.loop.EventLoop

/** Transfers leadership of shards that another controller should lead: a shard's home, or any other controller if this one is drained. */
class ShardTransfers(
    private val loop: EventLoop,
    private val elections: LeaderElections,
    private val succession: ShardSuccession,
) {
    /** Checks for due transfers every [PeerConstants.HEALTH_CHECK_MS], until cancelled. */
    suspend fun run() {
        while (true) {
            delay(PeerConstants.HEALTH_CHECK_MS)
            for (election in elections.all) transferIfDue(election)
        }
    }

    private suspend fun transferIfDue(election: LeaderElection) {
        val shard = election.shard ?: return
        if (election.leader == null) return
        val transfer = succession.transferDue(shard, loop.nowMs()) ?: return
        election.transferLeadership(transfer.reason)
    }
}
