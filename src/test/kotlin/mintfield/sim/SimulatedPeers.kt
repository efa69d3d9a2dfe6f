package mintfield.sim

import mintfield.core.leadership.CancellationLog

/** The controllers that are not the leader; they confirm cancellations to users and report them to the leader. */
class SimulatedPeers(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
) {
    private val logs = NAMES.mapIndexed { index, name -> name to CancellationLog(index + 1L) }.toMap(LinkedHashMap())
    private val unresponsive = HashSet<String>()

    /** A peer, drawn at random, confirms to its user that job [id] is cancelled. */
    fun confirmCancellation(id: String) = logs.values.random(context.random).append(id)

    /** From now on no peer responds to the leader. */
    fun makeAllUnresponsive() {
        unresponsive.addAll(NAMES)
    }

    /** From now on one peer, drawn at random, does not respond to the leader. */
    fun makeOneUnresponsive() {
        unresponsive.add(NAMES.random(context.random))
    }

    /** From now on all peers respond to the leader. */
    fun makeAllResponsive() = unresponsive.clear()

    /** Restarts a peer, drawn at random: its cancellation log is empty and has a new incarnation. */
    fun restartOne() {
        logs[NAMES.random(context.random)] = CancellationLog(RESTARTED_INCARNATION)
    }

    /** Sends [leader] the next page of the cancellation log of each peer that responds. */
    fun exchange(leader: SimulatedLeader) {
        for ((peer, log) in logs) {
            if (peer in unresponsive || leader in leaders.partitioned || context.chance(0.1)) continue
            val (incarnation, next) = leader.cancellationWatermark.positionOf(peer)
            val page = log.pageFrom(incarnation, next)
            val requestedAtMs = context.nowMs
            context.after(context.random.nextLong(1, 800)) {
                leader.cancellationWatermark.pageReceived(peer, page, requestedAtMs, context.nowMs)
                page.ids.forEach { leader.scheduler.cancellationConfirmedByPeer(it, context.nowMs) }
            }
        }
    }

    companion object {
        val NAMES = listOf("plot-1", "plot-2")

        private const val RESTARTED_INCARNATION = 99L
    }
}
