package mintfield.sim

import mintfield.core.model.FinalState

/** The store's watch on jobs: brings each change to all that act as leaders, up to [LAG_MS] later. */
class SimulatedWatch(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
) {
    /** Job [id] has changed in the store. */
    fun jobChanged(id: String) {
        leaders.all().forEach { leader ->
            context.after(context.random.nextLong(5, LAG_MS)) { deliver(leader, id) }
        }
    }

    private fun deliver(
        leader: SimulatedLeader,
        id: String,
    ) {
        if (!store.serves(leader)) return context.after(RETRY_MS) { deliver(leader, id) }
        val job = store.jobs[id]
        store.finalStates[id]?.let { leader.dependencies.onJobEnded(id, FinalState(it, 0, context.nowMs)) }
        if (job == null) {
            leader.dependencies.onRecordRemoved(id)
            leader.scheduler.jobRemoved(id, context.nowMs)
        } else {
            leader.dependencies.onRecordWritten(job)
            leader.scheduler.jobChanged(job, context.nowMs)
        }
    }

    companion object {
        /** Milliseconds after which a change has been delivered, at the latest, to a leader that the store serves. */
        const val LAG_MS = 300L

        private const val RETRY_MS = 100L
    }
}
