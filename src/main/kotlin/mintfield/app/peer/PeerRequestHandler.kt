package mintfield.app.peer

import mintfield.core.leadership.CancellationPage
import mintfield.core.ownership.ShardLoad
import mintfield.io.http.Response

/** What a controller does with the messages that its peers send it. */
interface PeerRequestHandler {
    /** Writes of users queue up at a peer for the state service. */
    fun peerCongested()

    /** A peer's leader of [shard] reports its load. */
    fun peerLoad(
        shard: String,
        load: ShardLoad,
    )

    /** [peer] leads [shard] with [term]; the name of the only leadership, where there are no shards, is empty. */
    fun peerLeads(
        peer: String,
        shard: String,
        term: Long,
    )

    /** [peer] runs a program of this [generation]. */
    fun peerRuns(
        peer: String,
        generation: Int,
    )

    /** Answers encoded questions of a peer's leader about tasks on machines of a shard led here; null if it is not, or they are unreadable. */
    fun foreignTasksQueried(body: ByteArray): ByteArray?

    /** The cancellations confirmed here that a peer lacks which has read the log of [incarnation] up to entry [next]. */
    fun cancellationsAfter(
        incarnation: Long,
        next: Long,
    ): CancellationPage

    /** Answers a user's request that a peer has relayed. It is not relayed any further. */
    suspend fun relayedUserRequest(
        method: String,
        path: String,
        body: ByteArray,
    ): Response

    /** Answers a heartbeat that a peer has relayed. It is not relayed any further. */
    suspend fun relayedHeartbeat(body: ByteArray): Response
}
