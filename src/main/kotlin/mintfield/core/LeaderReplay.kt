package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.FailureAttribution
import mintfield.core.jobs.PlanJournal
import mintfield.core.jobs.RoundRecord

/**
 * Restores a new leader's state from the records of earlier leaders. The caller passes the records one at a time, the rounds
 * after the jobs and in the order of their keys, and finally calls [complete]. Until then the leader plans nothing and starts no
 * tasks.
 */
class LeaderReplay internal constructor(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val planJournal: PlanJournal,
    private val failureAttribution: FailureAttribution,
) {
    /** Whether the replay has ended. Before that, responses to heartbeats start no tasks. */
    var isComplete = false
        private set

    /** Restores an earlier leader's scale-out intent. Its provisioning request is sent again with the same idempotency key. */
    fun intent(intent: ScaleOutIntent) {
        fleet.intents[intent.idempotencyKey] = intent
    }

    /** Replays the [record] of a scheduling round, written under [key] at [revision]. With [keep] the record is never deleted. */
    fun round(
        key: String,
        record: RoundRecord,
        revision: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) = planJournal.replay(key, record, revision, nowMs, keep)

    /**
     * Handles a round record that cannot be read at all, not even the ids of its jobs. Its tasks may run unknown to this leader, so
     * planning is suspended until their workers must have sent a heartbeat or lost their leases.
     */
    fun unreadableRound(nowMs: Long) {
        cluster.suspendPlanning(untilMs = nowMs + cluster.timings.leaseExpiryMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS)
    }

    /** Handles a round record whose part on job [jobId] cannot be read: the job keeps its running tasks and gets no new ones. */
    fun unreadableJob(jobId: String) {
        cluster.jobs[jobId]?.unreadable = true
    }

    /** Restores the learned estimates of an earlier leader. Entries of unknown jobs and machines are ignored. */
    fun restore(learnedState: LearnedState) {
        cluster.runTimes.restore(learnedState.logRatio)
        for ((id, probes) in learnedState.suspectJobs) cluster.jobs[id]?.let { failureAttribution.restore(it, probes) }
        for ((id, images) in learnedState.machineImages) {
            val machine = cluster.machines[id] ?: continue
            images.forEach { image -> learnedState.imageGb[image]?.let { machine.images.markPresent(image, it) } }
        }
    }

    /** Ends the replay. From now on the leader plans and sends commands. */
    fun complete(nowMs: Long) {
        isComplete = true
        zoneFencing.recordsRead()
        cluster.replayCompleted(nowMs)
        // The replayed state is already in the store.
        for (job in cluster.jobs.values) {
            job.unwritten.clear()
        }
        for (job in cluster.jobs.values) if (job.cancelled) cluster.stopAll(job, nowMs)
    }
}
