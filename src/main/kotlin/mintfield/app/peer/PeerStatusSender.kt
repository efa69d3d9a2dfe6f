package mintfield.app.peer

import kotlinx.coroutines.CoroutineName
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.protobuf.ProtoBuf
import mintfield.app.election.LeaderElections
import mintfield.core.constants.PeerConstants
import mintfield.core.leadership.CancellationPage
import mintfield.core.model.Settings
import mintfield.core.upgrade.Generation
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.loop.EventLoop
import mintfield.io.peer.PeerStatus
import mintfield.io.peer.PeerStatusResponse
import mintfield.io.peer.ShardLeaderStatus
import mintfield.io.peer.decodeOrNull

/** Sends this controller's status to each peer, every [PeerConstants.PEER_STATUS_INTERVAL_MS] and on [announce]. */
@OptIn(ExperimentalSerializationApi::class)
class PeerStatusSender(
    private val loop: EventLoop,
    private val scope: CoroutineScope,
    private val settings: Settings,
    private val relay: PeerRelay,
    private val health: PeerHealth,
    private val local: LocalStatus,
) {
    private val progressPagers = settings.peers.associate { it.member to ProgressPager() }

    /** Starts one sending coroutine per peer. Call once. */
    fun start() {
        for ((peer, client) in relay.clients) {
            scope.launch(CoroutineName("status to $peer")) {
                while (true) {
                    send(peer, client)
                    delay(PeerConstants.PEER_STATUS_INTERVAL_MS)
                }
            }
        }
    }

    /** Sends the status to all peers immediately, in addition to the periodic messages. */
    fun announce() {
        for ((peer, client) in relay.clients) scope.launch(CoroutineName("announcement to $peer")) { send(peer, client) }
    }

    private suspend fun send(
        peer: String,
        client: HttpClient,
    ) {
        val sentAtMs = loop.nowMs()
        val bytes = ProtoBuf.encodeToByteArray(PeerStatus.serializer(), statusFor(peer))
        val result = client.call("POST", PeerPaths.STATUS, bytes, PeerConstants.PEER_TIMEOUT_MS)
        if (result is HttpResult.Received && result.status == HttpStatus.OK) {
            val response = decodeOrNull(PeerStatusResponse.serializer(), result.body) ?: return
            val page = CancellationPage(response.incarnation, response.from, response.cancelled, response.total)
            local.cancellationsReceived(peer, page, sentAtMs)
        }
        // A call that fails well before its timeout means a refused connection.
        if (result is HttpResult.NoResponse && loop.nowMs() - sentAtMs < PeerConstants.PEER_TIMEOUT_MS / 2) health.connectionRefused(peer)
    }

    private fun statusFor(peer: String): PeerStatus {
        val (incarnation, next) = local.cancellationsRead(peer)
        val terms = local.leadingTerms()
        val progress = if (terms.isNotEmpty()) local.progressOfLedJobs() else emptyMap()
        val page = progressPagers.getValue(peer).next(progress)
        return PeerStatus(
            member = settings.member,
            storeServes = health.isStoreServing,
            leading = terms.isNotEmpty(),
            progress = page,
            term = terms[LeaderElections.UNSHARDED] ?: 0,
            congested = local.isCongested(),
            readIncarnation = incarnation,
            readNext = next,
            jobs = if (page.size < progress.size) progress.size else 0,
            shards = terms.filterKeys { it != LeaderElections.UNSHARDED }.map { (shard, term) -> ShardLeaderStatus.of(shard, term, local.loadOf(shard)) },
            generation = Generation.CURRENT,
        )
    }
}
