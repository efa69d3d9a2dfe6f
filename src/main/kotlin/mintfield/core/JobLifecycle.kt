package mintfield.core

import mintfield.core.dependencies.DependencyGraph
import mintfield.core.jobs.Job
import mintfield.core.jobs.PlanJournal
import mintfield.core.model.AcceptedJob

/** Applies job events from the store and from controllers to the leader's state: accepted, ready, cancelled and removed jobs. */
internal class JobLifecycle(
    private val cluster: Cluster,
    private val dependencies: DependencyGraph,
    private val planJournal: PlanJournal,
    private val cancellations: KnownCancellations,
    private val replay: LeaderReplay,
    private val log: (String) -> Unit,
) {
    /** Adds or updates an accepted job from its record. Records that are not newer than the known one have no effect. */
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
        if (cancellations.isKnown(job.id)) job.cancel()
        when {
            job.ready -> {}
            dependencies.isCancelledByDependency(job.id) -> cluster.cancelledByDependency.add(job)
            dependencies.isReady(job.id) -> job.becomeReady(dependencies.readySinceMs(job.id))
        }
    }

    /** Makes job [id] schedulable, after all its predecessors have been recorded as done. */
    fun becameReady(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs[id] ?: return
        job.becomeReady(dependencies.readySinceMs(id))
        job.firstSeenAtMs = nowMs
        cluster.requestRound()
        log("$id: ready, all its predecessors are done")
    }

    /** Marks job [id] for cancellation, because a predecessor was cancelled. */
    fun dependencyCancelled(id: String) {
        cluster.jobs[id]?.let(cluster.cancelledByDependency::add)
    }

    /** Removes job [id], whose record was removed from the store: the job has ended, or its record was garbage-collected. */
    fun removed(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs.remove(id) ?: return
        cluster.unprovenJobs.remove(job)
        cluster.cancelledByDependency.remove(job)
        planJournal.jobRemoved(job)
        // Jobs without active attempts are not logged: after a failover many of them may be removed at once.
        if (job.activeAttempts.isNotEmpty()) log("$id: record removed from the store, ${job.activeAttempts.size} tasks to be reconciled by heartbeats")
        for (attempt in job.activeAttempts.toList()) cluster.release(attempt, nowMs, Cluster.SUPERSEDED)
    }

    /** Cancels job [id], whose cancellation a controller confirms to the user. Its tasks stop even if this leader cannot read the job's record. */
    fun cancellationConfirmed(
        id: String,
        nowMs: Long,
    ) {
        cancellations.confirmed(id, nowMs)
        cluster.jobs[id]?.takeIf { !it.cancelled }?.let { cancel(it, nowMs) }
    }

    /** Handles the end of a read of all changes of job records, which was sent at [sentAtMs] and whose changes were passed on. */
    fun recordsRead(sentAtMs: Long) {
        // Before the end of the replay the changes are not passed on to this leader.
        if (replay.isComplete) cancellations.recordsRead(sentAtMs)
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
