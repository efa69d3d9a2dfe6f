package mintfield.app

import kotlinx.coroutines.delay
import mintfield.core.ReportAnswer
import mintfield.core.Timings
import mintfield.core.Tuning
import mintfield.core.leadership.IsolatedLeaderProbe
import mintfield.core.leadership.SiblingRedirects
import mintfield.core.leadership.SilentSiblingRelay
import mintfield.core.model.Settings
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.loop.EventLoop
import mintfield.io.peer.PeerLink
import mintfield.io.worker.WorkerCodec

/** Workers' reports: answered by a leader here, relayed to the one elsewhere, or sent on. */
class WorkerReports(
    private val loop: EventLoop,
    private val settings: Settings,
    private val peers: PeerLink,
    private val leaderships: Leaderships,
) {
    private val probe = IsolatedLeaderProbe(Timings(settings).sendOnMs)
    private val siblingRedirects = SiblingRedirects()
    private val parking = SilentSiblingRelay(settings.siblings.map { it.member } + settings.member, settings.member)
    private val reader = WorkerCodec.Reader(maxOf(settings.maxSockets, settings.operator.fleetMachines ?: 0))

    /** Answers a report that came straight from its worker. */
    suspend fun checkin(body: ByteArray): Response {
        val member = leaderships.forReport(body) ?: return Response(421, Json.obj { })
        val leader = member.leader ?: return elsewhere(member, body)
        if (peers.isolation.sendsWorkersAway(leader.leaseLeftMs(), loop.nowMs())) {
            val report = reader.report(body) ?: return Response.error(400, "not a report")
            if (probe.sendOn(report.machine, loop.nowMs())) return Response(421, Json.obj { })
        }
        return answer(leader, body, direct = true)
    }

    /** Where workers are to report while the controller that they would try after this one is silent. */
    fun parkedAt(): String? = parking.place(peers::silent, peers::heardNow)

    private suspend fun answer(
        leader: Leader,
        body: ByteArray,
        direct: Boolean = false,
    ): Response {
        val report = reader.report(body) ?: return Response.error(400, "not a report")
        if (direct) {
            leader.heardDirectly(report)
            val place = parkedAt()
            if (place != null && leader.knows(report) && parking.send(report.machine, leader.relayedBefore(report), loop.nowMs())) {
                return Response(421, Json.obj { writeStringField("steward", place) })
            }
        }
        return when (val answer = leader.report(report, relayed = !direct, parked = parkedAt() != null)) {
            ReportAnswer.Deposed -> {
                leader.resign("${report.machine} has seen term ${report.termSeen}")
                Response(421, Json.obj { })
            }

            ReportAnswer.Unrenewed, ReportAnswer.OwnedByAnother -> {
                Response(421, Json.obj { })
            }

            ReportAnswer.NotNow -> {
                Response(503, Json.obj { })
            }

            is ReportAnswer.Orders -> {
                // It may have given up while the report waited.
                if (leader !in leaderships.leaders) return Response(421, Json.obj { })
                leader.kick()
                Response(200, WorkerCodec.orders(answer.term, null, answer.orders))
            }
        }
    }

    /** Not the leader: the report goes on to it, and its answer back; it says if the worker should come directly. */
    private suspend fun elsewhere(
        member: Member,
        body: ByteArray,
    ): Response {
        val leader = member.known?.takeIf { it != settings.member } ?: return Response(421, Json.obj { })
        if (peers.relaysCrowded(leader)) return Response(421, Json.obj { writeStringField("steward", leader) })
        val sentAt = loop.nowMs()
        val answer = peers.relay(leader, body) ?: return afterSilence(member, leader, body, sentAt)
        return if (answer.status == 421) Response(421, Json.obj { writeStringField("steward", leader) }) else Response(answer.status, answer.body)
    }

    /**
     * The leader did not answer. If all other controllers are silent the worker would lose its lease at them, and there is
     * about to be a new leader, most likely here.
     */
    private suspend fun afterSilence(
        member: Member,
        leader: String,
        body: ByteArray,
        sentAtMs: Long,
    ): Response {
        val alone = settings.siblings.none { it.member != leader && !peers.silent(it.member) }
        while (alone && loop.nowMs() - sentAtMs < Tuning.PARKED_PATIENCE_MS) {
            member.leader?.let { return answer(it, body) }
            val known = member.known
            if (known != null && known != leader && known != settings.member) {
                return peers.relay(known, body)?.takeIf { it.status != 421 }?.let { Response(it.status, it.body) } ?: break
            }
            delay(Tuning.PARKED_STEP_MS)
        }
        return detour(leader, body)
    }

    /** Naming a leader that cannot be reached from here would cost the worker seconds of its lease; another sibling may help. */
    private fun detour(
        leader: String,
        body: ByteArray,
    ): Response {
        val report = reader.report(body) ?: return Response.error(400, "not a report")
        val to = siblingRedirects.offer(report.machine, peers.heardBesides(leader), loop.nowMs())
        return Response(421, Json.obj { to?.let { writeStringField("steward", it) } })
    }

    /** Answers a report that came by way of a sibling; it is not passed on any further. */
    suspend fun relayed(body: ByteArray): Response {
        val leader = leaderships.forReport(body)?.leader ?: return Response(503, Json.obj { })
        val report = reader.report(body) ?: return Response.error(400, "not a report")
        if (parkedAt() == null && leader.comesDirectly(report)) return Response(421, Json.obj { })
        return answer(leader, body)
    }
}
