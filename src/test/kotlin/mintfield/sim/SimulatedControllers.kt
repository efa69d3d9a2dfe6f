package mintfield.sim

import mintfield.core.leadership.CancellationLog

/** The controllers, among them those with a leader. All confirm cancellations to users, and leaders read the logs of their peers. */
class SimulatedControllers(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
) {
    private val logs = NAMES.mapIndexed { index, name -> name to CancellationLog(index + 1L) }.toMap(LinkedHashMap())
    private val unresponsive = HashSet<String>()

    /** The cancellation log of the controller [name]. */
    fun logOf(name: String): CancellationLog = logs.getValue(name)

    /** A controller, drawn at random, that can be elected: none of its leaders is partitioned. */
    fun drawCandidate(): String = NAMES.filter { name -> leaders.partitioned.none { it.controller == name } }.random(context.random)

    /** A controller that the store serves, drawn at random, confirms to its user that job [id] is cancelled. */
    fun confirmCancellation(id: String) {
        val name = NAMES.filter(::isServed).random(context.random)
        val leader = leaders.at(name).firstOrNull()
        if (leader == null || context.defects.hideOwnConfirmations) logOf(name).append(id) else leader.cancellations.confirmedHere(id)
    }

    private fun isServed(name: String) = leaders.at(name).all(store::serves)

    /** From now on no controller responds to its peers. */
    fun makeAllUnresponsive() {
        unresponsive.addAll(NAMES)
    }

    /** From now on one controller, drawn at random among those that are not the leader, does not respond to its peers. */
    fun makeOneUnresponsive() {
        unresponsive.add(drawFollower())
    }

    /** From now on all controllers respond to their peers. */
    fun makeAllResponsive() = unresponsive.clear()

    /** Restarts a controller, drawn at random among those that are not the leader: its cancellation log is empty and has a new incarnation. */
    fun restartOne() {
        val name = drawFollower()
        leaders.deposed.removeAll { it.controller == name }
        logs[name] = CancellationLog(RESTARTED_INCARNATION)
    }

    private fun drawFollower(): String = NAMES.filter { it != leaders.current?.controller }.random(context.random)

    /** Sends [leader] the next page of the cancellation log of each peer that responds. */
    fun exchange(leader: SimulatedLeader) {
        for (peer in peersOf(leader.controller)) {
            if (peer in unresponsive || leader in leaders.partitioned || context.chance(0.1)) continue
            val (incarnation, next) = leader.cancellations.watermark.positionOf(peer)
            val page = logOf(peer).pageFrom(incarnation, next)
            val requestedAtMs = context.nowMs
            context.after(context.random.nextLong(1, 800)) { leader.cancellations.confirmedByPeer(peer, page, requestedAtMs, context.nowMs) }
        }
    }

    companion object {
        private val NAMES = listOf("plot-0", "plot-1", "plot-2")

        private const val RESTARTED_INCARNATION = 99L

        /** The peers of the controller [name]. */
        fun peersOf(name: String): List<String> = NAMES - name
    }
}
