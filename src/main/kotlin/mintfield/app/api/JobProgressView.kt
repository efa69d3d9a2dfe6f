package mintfield.app.api

import mintfield.app.election.LeaderElections
import mintfield.app.peer.PeerProgressTable
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.Job

/** The progress of unfinished jobs for responses to users, from the leaders in this process or else from the status messages of peers. */
class JobProgressView(
    private val elections: LeaderElections,
    private val peers: PeerProgressTable,
    /** Whether machines are divided into shards, in which case peers lead some of the jobs even while this controller leads others. */
    private val sharded: Boolean,
) {
    /** The progress of job [id]; null if it is known neither here nor from a peer. */
    fun of(id: String): Progress? {
        val leaders = elections.leaders
        for (leader in leaders) {
            leader.scheduler.cluster.jobs[id]
                ?.let { return progress(it) }
        }
        return if (leaders.isEmpty() || sharded) peers[id] else null
    }

    /** The progress of all jobs whose leader runs in this process, by job id. */
    fun ofLedJobs(): Map<String, Progress> {
        val progress = LinkedHashMap<String, Progress>()
        for (leader in elections.leaders) {
            leader.scheduler.cluster.jobs.values
                .forEach { progress[it.id] = progress(it) }
        }
        return progress
    }

    private fun progress(job: Job) = Progress(job.doneTasks, job.count(AttemptState.RUNNING))
}
