package mintfield.app.heartbeat

import kotlinx.coroutines.delay
import mintfield.app.election.LeaderElection
import mintfield.app.election.LeaderElections
import mintfield.app.leader.Leader
import mintfield.app.peer.PeerHealth
import mintfield.app.peer.PeerRelay
import mintfield.core.HeartbeatResponse
import mintfield.core.Timings
import mintfield.core.constants.PeerConstants
import mintfield.core.leadership.IsolatedLeaderProbe
import mintfield.core.leadership.PeerRedirects
import mintfield.core.leadership.RelayPeerSelector
import mintfield.core.model.Heartbeat
import mintfield.core.model.Settings
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.worker.CommandCodec
import mintfield.io.worker.HeartbeatReader
import mintfield.io.worker.WorkerRedirectCodec

/**
 * Responds to workers' heartbeats: with the response of a leader in this process, with that of a leader at a peer to which the heartbeat is
 * relayed, or with a redirect of the worker.
 */
class HeartbeatEndpoint(
    private val loop: EventLoop,
    private val settings: Settings,
    private val health: PeerHealth,
    private val relay: PeerRelay,
    private val elections: LeaderElections,
) {
    private val probe = IsolatedLeaderProbe(Timings(settings).redirectIntervalMs)
    private val peerRedirects = PeerRedirects()
    private val relaySelector = RelayPeerSelector(settings.peers.map { it.member } + settings.member, settings.member)
    private val reader = HeartbeatReader(maxOf(settings.maxSockets, settings.operator.fleetMachines ?: 0))

    /** Responds to a heartbeat that came directly from its worker. [body] is the whole request body. */
    suspend fun receive(body: ByteArray): Response {
        val election = elections.forHeartbeat(body) ?: return redirect(to = null)
        val leader = election.leader ?: return relayToLeader(election, body)
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        val isIsolated = health.isolation.redirectsWorkers(leader.leaseLeftMs(), loop.nowMs())
        if (isIsolated && probe.shouldRedirect(heartbeat.machine, loop.nowMs())) return redirect(to = null)
        return respondDirectly(leader, heartbeat)
    }

    /** Responds to a heartbeat that a peer has relayed. It is not relayed any further. */
    suspend fun receiveRelayed(body: ByteArray): Response {
        val leader = elections.forHeartbeat(body)?.leader ?: return unavailable()
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        if (relayPeer() == null && leader.routes.shouldConnectDirectly(heartbeat)) return redirect(to = null)
        return respond(leader, heartbeat, relayed = true)
    }

    /** The peer to redirect workers to while the controller that they would try after this one is unreachable; null if there is no need or no such peer. */
    fun relayPeer(): String? = relaySelector.relayPeer(health::isUnreachable, health::isReachable)

    private suspend fun respondDirectly(
        leader: Leader,
        heartbeat: Heartbeat,
    ): Response {
        val routes = leader.routes
        routes.directHeartbeat(heartbeat)
        val peer = relayPeer()
        if (peer != null && routes.hasSeenWorker(heartbeat) && relaySelector.shouldRedirect(heartbeat.machine, routes.wasRelayed(heartbeat), loop.nowMs())) {
            return redirect(peer)
        }
        return respond(leader, heartbeat, relayed = false)
    }

    private suspend fun respond(
        leader: Leader,
        heartbeat: Heartbeat,
        relayed: Boolean,
    ): Response =
        when (val response = leader.heartbeat(heartbeat, relayed, viaRelayPeer = relayPeer() != null)) {
            HeartbeatResponse.Deposed -> {
                leader.resign("${heartbeat.machine} has seen term ${heartbeat.termSeen}")
                redirect(to = null)
            }

            HeartbeatResponse.RenewalRefused, HeartbeatResponse.NotOwner -> redirect(to = null)
            HeartbeatResponse.ZoneFenced -> unavailable()
            is HeartbeatResponse.Commands -> encodeCommands(leader, response)
        }

    private fun encodeCommands(
        leader: Leader,
        response: HeartbeatResponse.Commands,
    ): Response {
        // The leader may have been deposed while the heartbeat waited for a zone fence to be lifted.
        if (leader !in elections.leaders) return redirect(to = null)
        leader.wake()
        return Response(HttpStatus.OK, CommandCodec.encode(response.term, null, response.commands))
    }

    /** Relays the heartbeat to the leader at a peer and returns its response. Status 421 from the leader means that the worker should connect to it. */
    private suspend fun relayToLeader(
        election: LeaderElection,
        body: ByteArray,
    ): Response {
        val leader = election.knownLeader?.takeIf { it != settings.member } ?: return redirect(to = null)
        if (relay.isCongested(leader)) return redirect(leader)
        val sentAtMs = loop.nowMs()
        val response = relay.heartbeat(leader, body) ?: return handleUnresponsiveLeader(election, leader, body, sentAtMs)
        return if (response.status == HttpStatus.MISDIRECTED_REQUEST) redirect(leader) else Response(response.status, response.body)
    }

    /**
     * Responds to a heartbeat that was relayed to the leader without a response. If all other peers are unreachable as well, a redirect would
     * cost the worker its lease, and a new leader will be elected soon, most likely in this process, so the heartbeat waits for it.
     */
    private suspend fun handleUnresponsiveLeader(
        election: LeaderElection,
        unresponsiveLeader: String,
        body: ByteArray,
        sentAtMs: Long,
    ): Response {
        val othersUnreachable = settings.peers.none { it.member != unresponsiveLeader && !health.isUnreachable(it.member) }
        val next = if (othersUnreachable) awaitNextLeader(election, unresponsiveLeader, sentAtMs) else NextLeader.Unknown
        return when (next) {
            is NextLeader.Here -> {
                val heartbeat = reader.read(body) ?: return notAHeartbeat()
                respond(next.leader, heartbeat, relayed = true)
            }

            is NextLeader.AtPeer -> {
                val response = relay.heartbeat(next.peer, body)?.takeIf { it.status != HttpStatus.MISDIRECTED_REQUEST }
                response?.let { Response(it.status, it.body) } ?: redirectToOtherPeer(unresponsiveLeader, body)
            }

            NextLeader.Unknown -> redirectToOtherPeer(unresponsiveLeader, body)
        }
    }

    /** The successor of an unresponsive leader. */
    private sealed interface NextLeader {
        class Here(
            val leader: Leader,
        ) : NextLeader

        class AtPeer(
            val peer: String,
        ) : NextLeader

        data object Unknown : NextLeader
    }

    /** Waits for a leader other than [unresponsiveLeader], until [PeerConstants.HELD_HEARTBEAT_TIMEOUT_MS] after [sentAtMs]. */
    private suspend fun awaitNextLeader(
        election: LeaderElection,
        unresponsiveLeader: String,
        sentAtMs: Long,
    ): NextLeader {
        while (loop.nowMs() - sentAtMs < PeerConstants.HELD_HEARTBEAT_TIMEOUT_MS) {
            election.leader?.let { return NextLeader.Here(it) }
            val known = election.knownLeader
            if (known != null && known != unresponsiveLeader && known != settings.member) return NextLeader.AtPeer(known)
            delay(PeerConstants.HELD_HEARTBEAT_CHECK_MS)
        }
        return NextLeader.Unknown
    }

    /** Redirects the worker to another peer, because a redirect to the leader, unreachable from here, could cost it seconds of its lease. */
    private fun redirectToOtherPeer(
        unresponsiveLeader: String,
        body: ByteArray,
    ): Response {
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        return redirect(peerRedirects.redirectTarget(heartbeat.machine, health.reachablePeerExcept(unresponsiveLeader), loop.nowMs()))
    }

    /** Redirects the worker to the controller [to], or to the next one in the worker's list if [to] is null. */
    private fun redirect(to: String?) = Response(HttpStatus.MISDIRECTED_REQUEST, WorkerRedirectCodec.encode(to))

    private fun unavailable() = Response(HttpStatus.SERVICE_UNAVAILABLE, Json.obj { })

    private fun notAHeartbeat() = Response.error(HttpStatus.BAD_REQUEST, "not a report")
}
