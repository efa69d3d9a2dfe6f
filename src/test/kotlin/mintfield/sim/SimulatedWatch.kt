package mintfield.sim

import mintfield.core.model.FinalState

/** The watch of the store on jobs: delivers each change to all active leaders within [LAG_MS], or later to leaders that the store does not serve. */
class SimulatedWatch(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
) {
    /** Schedules the delivery of a change of job [id]. */
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
        /** Maximum delay in milliseconds until a change is delivered to a leader that the store serves. */
        const val LAG_MS = 300L

        private const val RETRY_MS = 100L
    }
}
