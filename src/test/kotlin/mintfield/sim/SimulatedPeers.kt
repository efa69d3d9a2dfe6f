package mintfield.sim

import mintfield.core.leadership.CancellationLog

/** The controllers beside the leader, as far as they confirm cancellations to users and tell the leader of them. */
class SimulatedPeers(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
) {
    private val logs = NAMES.mapIndexed { index, name -> name to CancellationLog(index + 1L) }.toMap(LinkedHashMap())
    private val silent = HashSet<String>()

    /** A peer, drawn at random, confirms to its user that job [id] is cancelled. */
    fun confirmCancellation(id: String) = logs.values.random(context.random).append(id)

    /** None of them answers the leader. */
    fun silenceAll() {
        silent.addAll(NAMES)
    }

    /** One of them, drawn at random, does not answer the leader. */
    fun silenceOne() {
        silent.add(NAMES.random(context.random))
    }

    /** All answer again. */
    fun endSilence() = silent.clear()

    /** One of them, drawn at random, is replaced by a new process that knows nothing of the log before. */
    fun restartOne() {
        logs[NAMES.random(context.random)] = CancellationLog(RESTARTED_INCARNATION)
    }

    /** Sends [leader] the next page of the log of each peer that it reaches. */
    fun exchange(leader: SimulatedLeader) {
        for ((peer, log) in logs) {
            if (peer in silent || leader in leaders.partitioned || context.chance(0.1)) continue
            val (incarnation, next) = leader.cancellationWatermark.positionOf(peer)
            val page = log.pageFrom(incarnation, next)
            val askedAtMs = context.nowMs
            context.after(context.random.nextLong(1, 800)) {
                leader.cancellationWatermark.pageReceived(peer, page, askedAtMs, context.nowMs)
                page.ids.forEach { leader.scheduler.cancellationConfirmedByPeer(it, context.nowMs) }
            }
        }
    }

    companion object {
        val NAMES = listOf("plot-1", "plot-2")

        private const val RESTARTED_INCARNATION = 99L
    }
}
