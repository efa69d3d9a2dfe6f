package mintfield.app.leader

import mintfield.core.Scheduler
import mintfield.core.jobs.JobListener
import mintfield.core.model.AcceptedJob
import mintfield.core.model.JobSpec
import mintfield.io.loop.EventLoop

/** Passes job changes in the replica on to a leader's scheduler, and wakes its commit loop if there may be something to commit. */
class LeaderJobListener(
    private val loop: EventLoop,
    private val scheduler: Scheduler,
    /** Whether the leader schedules a job: it belongs to a team of the leader's shard, or there are no shards. */
    private val isScheduledHere: (JobSpec) -> Boolean,
    private val wake: () -> Unit,
) : JobListener {
    override fun onJobChanged(job: AcceptedJob) {
        if (!isScheduledHere(job.spec)) return
        scheduler.jobChanged(job, loop.nowMs())
        wake()
    }

    override fun onJobRemoved(id: String) {
        scheduler.jobRemoved(id, loop.nowMs())
    }

    override fun becameReady(id: String) {
        scheduler.becameReady(id, loop.nowMs())
        wake()
    }

    override fun dependencyCancelled(id: String) {
        scheduler.dependencyCancelled(id)
        wake()
    }
}
