package mintfield.core

import mintfield.core.dependencies.DependencyGraph
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlanJournal
import mintfield.core.model.AcceptedJob

/** Takes over what the store and the peers tell of jobs: accepted, ready, cancelled, gone. The leader's view of its jobs. */
internal class JobLifecycle(
    private val cluster: Cluster,
    private val dependencies: DependencyGraph,
    private val planJournal: PlanJournal,
    private val cancellations: KnownCancellations,
    private val replay: LeaderReplay,
    private val log: (String) -> Unit,
) {
    /** A job was accepted or its record has changed. Records that are no newer than the known one have no effect. */
    fun changed(
        accepted: AcceptedJob,
        nowMs: Long,
    ) {
        val job = cluster.jobs[accepted.spec.id]
        if (job == null) {
            add(Job(accepted), nowMs)
            return
        }
        if (accepted.revision <= job.revision) return
        job.recordChanged(accepted)
        if (accepted.cancelled && !job.cancelled) cancel(job, nowMs)
    }

    private fun add(
        job: Job,
        nowMs: Long,
    ) {
        cluster.jobs[job.id] = job
        job.firstSeenAtMs = nowMs
        when {
            job.ready -> {}
            dependencies.isCancelledByDependency(job.id) -> cluster.cancelledByDependency.add(job)
            dependencies.isReady(job.id) -> job.becomeReady(dependencies.readySinceMs(job.id))
        }
    }

    /** All predecessors of the job [id] are recorded as done: it may start. */
    fun becameReady(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs[id] ?: return
        job.becomeReady(dependencies.readySinceMs(id))
        job.firstSeenAtMs = nowMs
        cluster.roundWanted = true
        log("$id: ready, all its predecessors are done")
    }

    /** A predecessor of the job [id] is cancelled: it has to be cancelled as well. */
    fun dependencyCancelled(id: String) {
        cluster.jobs[id]?.let(cluster.cancelledByDependency::add)
    }

    /** The record of the job [id] is gone from the store: the job has ended, or its record was garbage-collected. */
    fun removed(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs.remove(id) ?: return
        cluster.unprovenJobs.remove(job)
        cluster.cancelledByDependency.remove(job)
        planJournal.jobRemoved(job)
        // Jobs without tasks are not logged: after a failover most of them may be gone at once.
        if (job.activeAttempts.isNotEmpty()) log("$id: gone from the store, ${job.activeAttempts.size} tasks are left to their workers' heartbeats")
        for (attempt in job.activeAttempts.toList()) cluster.release(attempt, nowMs, Cluster.DESCRIBED_ANEW)
    }

    /** A peer has confirmed to a user that [id] is cancelled: its tasks stop now, whether or not this leader can read the record. */
    fun cancellationConfirmedByPeer(
        id: String,
        nowMs: Long,
    ) {
        if (!replay.isComplete) cancellations.confirmedBeforeReplay(id)
        cluster.jobs[id]?.takeIf { !it.cancelled }?.let { cancel(it, nowMs) }
    }

    private fun cancel(
        job: Job,
        nowMs: Long,
    ) {
        job.cancel()
        log("${job.id}: cancelled, ${job.activeAttempts.size} tasks to stop")
        cluster.stopAll(job, nowMs)
    }
}
