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

/** Answers workers' heartbeats: by a leader in this process, by relaying them to one elsewhere, or by redirecting the worker. */
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

    /** Answers a heartbeat that came straight from its worker; [body] is the whole request body. */
    suspend fun receive(body: ByteArray): Response {
        val election = elections.forHeartbeat(body) ?: return redirect(to = null)
        val leader = election.leader ?: return relayToLeader(election, body)
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        val isIsolated = health.isolation.redirectsWorkers(leader.leaseLeftMs(), loop.nowMs())
        if (isIsolated && probe.shouldRedirect(heartbeat.machine, loop.nowMs())) return redirect(to = null)
        return answerDirect(leader, heartbeat)
    }

    /** Answers a heartbeat that a peer has relayed. It is not relayed any further. */
    suspend fun relayed(body: ByteArray): Response {
        val leader = elections.forHeartbeat(body)?.leader ?: return unavailable()
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        if (relayPeer() == null && leader.routes.shouldConnectDirectly(heartbeat)) return redirect(to = null)
        return answer(leader, heartbeat, relayed = true)
    }

    /** The peer to which workers are redirected while the controller that they would try after this one is unreachable; else null. */
    fun relayPeer(): String? = relaySelector.relayPeer(health::isUnreachable, health::isReachable)

    private suspend fun answerDirect(
        leader: Leader,
        heartbeat: Heartbeat,
    ): Response {
        val routes = leader.routes
        routes.directHeartbeat(heartbeat)
        val peer = relayPeer()
        if (peer != null && routes.hasHeardFrom(heartbeat) && relaySelector.shouldRedirect(heartbeat.machine, routes.wasRelayed(heartbeat), loop.nowMs())) {
            return redirect(peer)
        }
        return answer(leader, heartbeat, relayed = false)
    }

    private suspend fun answer(
        leader: Leader,
        heartbeat: Heartbeat,
        relayed: Boolean,
    ): Response =
        when (val answer = leader.heartbeat(heartbeat, relayed, viaRelayPeer = relayPeer() != null)) {
            HeartbeatResponse.Deposed -> {
                leader.resign("${heartbeat.machine} has seen term ${heartbeat.termSeen}")
                redirect(to = null)
            }

            HeartbeatResponse.RenewalRefused, HeartbeatResponse.NotOwner -> redirect(to = null)
            HeartbeatResponse.ZoneFenced -> unavailable()
            is HeartbeatResponse.Commands -> commands(leader, answer)
        }

    private fun commands(
        leader: Leader,
        answer: HeartbeatResponse.Commands,
    ): Response {
        // It may have been deposed while the heartbeat waited.
        if (leader !in elections.leaders) return redirect(to = null)
        leader.wake()
        return Response(HttpStatus.OK, CommandCodec.encode(answer.term, null, answer.commands))
    }

    /** Relays the heartbeat to the leader at a peer, and its answer back. A 421 of the leader means that the worker should connect to it. */
    private suspend fun relayToLeader(
        election: LeaderElection,
        body: ByteArray,
    ): Response {
        val leader = election.known?.takeIf { it != settings.member } ?: return redirect(to = null)
        if (relay.isCongested(leader)) return redirect(leader)
        val sentAtMs = loop.nowMs()
        val answer = relay.heartbeat(leader, body) ?: return afterLeaderSilence(election, leader, body, sentAtMs)
        return if (answer.status == HttpStatus.MISDIRECTED_REQUEST) redirect(leader) else Response(answer.status, answer.body)
    }

    /**
     * The leader did not answer. If all other controllers are silent the worker would lose its lease at them, and there will soon be
     * a new leader, most likely here: the heartbeat waits for it.
     */
    private suspend fun afterLeaderSilence(
        election: LeaderElection,
        silentLeader: String,
        body: ByteArray,
        sentAtMs: Long,
    ): Response {
        val alone = settings.peers.none { it.member != silentLeader && !health.isUnreachable(it.member) }
        val next = if (alone) awaitNextLeader(election, silentLeader, sentAtMs) else NextLeader.Unknown
        return when (next) {
            is NextLeader.Here -> {
                val heartbeat = reader.read(body) ?: return notAHeartbeat()
                answer(next.leader, heartbeat, relayed = true)
            }

            is NextLeader.AtPeer -> {
                val answer = relay.heartbeat(next.peer, body)?.takeIf { it.status != HttpStatus.MISDIRECTED_REQUEST }
                answer?.let { Response(it.status, it.body) } ?: redirectToOtherPeer(silentLeader, body)
            }

            NextLeader.Unknown -> redirectToOtherPeer(silentLeader, body)
        }
    }

    /** The leader that comes after one that did not answer. */
    private sealed interface NextLeader {
        class Here(
            val leader: Leader,
        ) : NextLeader

        class AtPeer(
            val peer: String,
        ) : NextLeader

        data object Unknown : NextLeader
    }

    /** Waits for another leader than [silentLeader], as long as the heartbeat of [sentAtMs] can be held. */
    private suspend fun awaitNextLeader(
        election: LeaderElection,
        silentLeader: String,
        sentAtMs: Long,
    ): NextLeader {
        while (loop.nowMs() - sentAtMs < PeerConstants.HELD_HEARTBEAT_TIMEOUT_MS) {
            election.leader?.let { return NextLeader.Here(it) }
            val known = election.known
            if (known != null && known != silentLeader && known != settings.member) return NextLeader.AtPeer(known)
            delay(PeerConstants.HELD_HEARTBEAT_CHECK_MS)
        }
        return NextLeader.Unknown
    }

    /** Naming a leader that cannot be reached from here would cost the worker seconds of its lease; another peer may help. */
    private fun redirectToOtherPeer(
        silentLeader: String,
        body: ByteArray,
    ): Response {
        val heartbeat = reader.read(body) ?: return notAHeartbeat()
        return redirect(peerRedirects.redirectTarget(heartbeat.machine, health.reachablePeerExcept(silentLeader), loop.nowMs()))
    }

    /** Sends the worker to the controller [to], or if that is null to whichever comes next in its list. */
    private fun redirect(to: String?) = Response(HttpStatus.MISDIRECTED_REQUEST, WorkerRedirectCodec.encode(to))

    private fun unavailable() = Response(HttpStatus.SERVICE_UNAVAILABLE, Json.obj { })

    private fun notAHeartbeat() = Response.error(HttpStatus.BAD_REQUEST, "not a report")
}
