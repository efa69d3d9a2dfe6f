package mintfield.app.peer

import mintfield.core.leadership.CancellationPage
import mintfield.core.ownership.ShardLoad
import mintfield.io.http.Response

/** Handles the messages of peers. */
interface PeerRequestHandler {
    /** Handles the notice of a peer that users' writes to the store queue up there. */
    fun peerCongested()

    /** Handles the [load] reported by a peer that leads [shard]. */
    fun peerLoad(
        shard: String,
        load: ShardLoad,
    )

    /** Handles the notice that [peer] leads [shard] with [term]. Without sharding the name of the single leadership is the empty string. */
    fun peerLeads(
        peer: String,
        shard: String,
        term: Long,
    )

    /** Handles the notice that [peer] runs a program of [generation]. */
    fun peerGenerationAnnounced(
        peer: String,
        generation: Int,
    )

    /** Responds to encoded queries of a peer's leader about tasks on machines of a shard; null if they cannot be decoded or the shard is not led here. */
    fun foreignTasksQueried(body: ByteArray): ByteArray?

    /** The next page of the local cancellation log for a peer that has read the log of [incarnation] up to, and without, entry [next]. */
    fun cancellationsAfter(
        incarnation: Long,
        next: Long,
    ): CancellationPage

    /** Responds to a user's request that a peer has relayed, without relaying it again. */
    suspend fun relayedUserRequest(
        method: String,
        path: String,
        body: ByteArray,
    ): Response

    /** Responds to a heartbeat that a peer has relayed, without relaying it again. */
    suspend fun relayedHeartbeat(body: ByteArray): Response
}
