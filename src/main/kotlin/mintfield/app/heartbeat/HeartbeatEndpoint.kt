package mintfield.app.heartbeat

import kotlinx.coroutines.delay
import mintfield.app.election.LeaderElection
import mintfield.app.election.LeaderElections
import mintfield.app.leader.Leader
import mintfield.app.peer.PeerLink
import mintfield.core.HeartbeatResponse
import mintfield.core.Timings
import mintfield.core.constants.PeerConstants
import mintfield.core.leadership.IsolatedLeaderProbe
import mintfield.core.leadership.PeerRedirects
import mintfield.core.leadership.RelayPeerSelector
import mintfield.core.model.Settings
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.worker.CommandCodec
import mintfield.io.worker.HeartbeatReader

/** Workers' reports: answered by a leader here, relayed to the one elsewhere, or sent on. */
class HeartbeatEndpoint(
    private val loop: EventLoop,
    private val settings: Settings,
    private val peers: PeerLink,
    private val elections: LeaderElections,
) {
    private val probe = IsolatedLeaderProbe(Timings(settings).redirectIntervalMs)
    private val peerRedirects = PeerRedirects()
    private val relaySelector = RelayPeerSelector(settings.peers.map { it.member } + settings.member, settings.member)
    private val reader = HeartbeatReader(maxOf(settings.maxSockets, settings.operator.fleetMachines ?: 0))

    /** Answers a heartbeat that came straight from its worker. */
    suspend fun receive(body: ByteArray): Response {
        val member = elections.forHeartbeat(body) ?: return Response(421, Json.obj { })
        val leader = member.leader ?: return relayToLeader(member, body)
        if (peers.isolation.redirectsWorkers(leader.leaseLeftMs(), loop.nowMs())) {
            val heartbeat = reader.read(body) ?: return Response.error(400, "not a report")
            if (probe.shouldRedirect(heartbeat.machine, loop.nowMs())) return Response(421, Json.obj { })
        }
        return answer(leader, body, direct = true)
    }

    /** Where workers are to report while the controller that they would try after this one is silent. */
    fun relayPeer(): String? = relaySelector.place(peers::isUnreachable, peers::isReachable)

    private suspend fun answer(
        leader: Leader,
        body: ByteArray,
        direct: Boolean = false,
    ): Response {
        val heartbeat = reader.read(body) ?: return Response.error(400, "not a report")
        if (direct) {
            leader.directHeartbeat(heartbeat)
            val place = relayPeer()
            if (place != null && leader.hasHeardFrom(heartbeat) && relaySelector.send(heartbeat.machine, leader.wasRelayed(heartbeat), loop.nowMs())) {
                return Response(421, Json.obj { writeStringField("steward", place) })
            }
        }
        return when (val answer = leader.heartbeat(heartbeat, relayed = !direct, viaRelayPeer = relayPeer() != null)) {
            HeartbeatResponse.Deposed -> {
                leader.resign("${heartbeat.machine} has seen term ${heartbeat.termSeen}")
                Response(421, Json.obj { })
            }

            HeartbeatResponse.RenewalRefused, HeartbeatResponse.NotOwner -> {
                Response(421, Json.obj { })
            }

            HeartbeatResponse.ZoneFenced -> {
                Response(503, Json.obj { })
            }

            is HeartbeatResponse.Commands -> {
                // It may have given up while the heartbeat waited.
                if (leader !in elections.leaders) return Response(421, Json.obj { })
                leader.wake()
                Response(200, CommandCodec.encode(answer.term, null, answer.commands))
            }
        }
    }

    /** Not the leader: the heartbeat goes on to it, and its answer back; it says if the worker should come directly. */
    private suspend fun relayToLeader(
        member: LeaderElection,
        body: ByteArray,
    ): Response {
        val leader = member.known?.takeIf { it != settings.member } ?: return Response(421, Json.obj { })
        if (peers.isRelayCongested(leader)) return Response(421, Json.obj { writeStringField("steward", leader) })
        val sentAt = loop.nowMs()
        val answer = peers.relay(leader, body) ?: return afterLeaderSilence(member, leader, body, sentAt)
        return if (answer.status == 421) Response(421, Json.obj { writeStringField("steward", leader) }) else Response(answer.status, answer.body)
    }

    /**
     * The leader did not answer. If all other controllers are silent the worker would lose its lease at them, and there is
     * about to be a new leader, most likely here.
     */
    private suspend fun afterLeaderSilence(
        member: LeaderElection,
        leader: String,
        body: ByteArray,
        sentAtMs: Long,
    ): Response {
        val alone = settings.peers.none { it.member != leader && !peers.isUnreachable(it.member) }
        while (alone && loop.nowMs() - sentAtMs < PeerConstants.HELD_HEARTBEAT_TIMEOUT_MS) {
            member.leader?.let { return answer(it, body) }
            val known = member.known
            if (known != null && known != leader && known != settings.member) {
                return peers.relay(known, body)?.takeIf { it.status != 421 }?.let { Response(it.status, it.body) } ?: break
            }
            delay(PeerConstants.HELD_HEARTBEAT_CHECK_MS)
        }
        return redirectToPeer(leader, body)
    }

    /** Naming a leader that cannot be reached from here would cost the worker seconds of its lease; another peer may help. */
    private fun redirectToPeer(
        leader: String,
        body: ByteArray,
    ): Response {
        val heartbeat = reader.read(body) ?: return Response.error(400, "not a report")
        val to = peerRedirects.offer(heartbeat.machine, peers.reachablePeerExcept(leader), loop.nowMs())
        return Response(421, Json.obj { to?.let { writeStringField("steward", it) } })
    }

    /** Answers a heartbeat that came by way of a peer; it is not passed on any further. */
    suspend fun relayed(body: ByteArray): Response {
        val leader = elections.forHeartbeat(body)?.leader ?: return Response(503, Json.obj { })
        val heartbeat = reader.read(body) ?: return Response.error(400, "not a report")
        if (relayPeer() == null && leader.shouldConnectDirectly(heartbeat)) return Response(421, Json.obj { })
        return answer(leader, body)
    }
}
