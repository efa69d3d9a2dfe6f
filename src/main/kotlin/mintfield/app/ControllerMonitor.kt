package mintfield.app

import kotlinx.coroutines.delay
import mintfield.app.election.LeaderElections
import mintfield.app.heartbeat.HeartbeatEndpoint
import mintfield.core.constants.PeerConstants
import mintfield.io.loop.EventLoop
import mintfield.io.loop.Log

/** Logs pauses of this controller process, redirects of workers to a peer, and a periodic summary of request times. */
class ControllerMonitor(
    private val loop: EventLoop,
    private val elections: LeaderElections,
    private val heartbeats: HeartbeatEndpoint,
    private val metrics: Metrics,
) {
    private var relayPeer: String? = null
    private var nextSummaryAtMs = 0L

    /** Checks every [PeerConstants.HEALTH_CHECK_MS] until cancelled. */
    suspend fun run() {
        nextSummaryAtMs = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
        while (true) {
            val startedAtMs = loop.nowMs()
            delay(PeerConstants.HEALTH_CHECK_MS)
            logPause(loop.nowMs() - startedAtMs - PeerConstants.HEALTH_CHECK_MS)
            logRelayPeer()
            logSummary()
        }
    }

    private fun logPause(pausedMs: Long) {
        if (pausedMs > PeerConstants.PAUSE_LOG_THRESHOLD_MS) Log.info("controller process: paused for $pausedMs ms")
    }

    private fun logRelayPeer() {
        val current = if (elections.leaders.isNotEmpty()) heartbeats.relayPeer() else null
        if (current == relayPeer) return
        relayPeer = current
        if (current != null) {
            Log.info("relay: next controller unreachable, redirecting workers to $current")
        } else {
            Log.info("relay: next controller reachable again, workers may connect to this controller directly")
        }
    }

    private fun logSummary() {
        if (loop.nowMs() < nextSummaryAtMs) return
        nextSummaryAtMs = loop.nowMs() + PeerConstants.SUMMARY_INTERVAL_MS
        val summary = metrics.takeSummary()
        if (summary.isNotEmpty()) Log.info(summary)
    }
}
