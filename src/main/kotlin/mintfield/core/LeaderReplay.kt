package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.FailureAttribution
import mintfield.core.jobs.PlanJournal
import mintfield.core.jobs.RoundRecord

/**
 * Restores a new leader's state from the records of its predecessors. The records are handed in one at a time, the rounds in the
 * order of their revisions and after the jobs, and [complete] ends it: until then the leader plans and sends nothing.
 */
class LeaderReplay internal constructor(
    private val cluster: Cluster,
    private val fleet: FleetManager,
    private val zoneFencing: ZoneFencing,
    private val planJournal: PlanJournal,
    private val failureAttribution: FailureAttribution,
    private val cancellations: KnownCancellations,
) {
    /** Whether all records have been handed in. Before that, heartbeats are answered with the fencing token only. */
    var isComplete = false
        private set

    /** A predecessor's intent to scale out: the provisioning request is sent again with the same idempotency key. */
    fun intent(intent: ScaleOutIntent) {
        fleet.intents[intent.idempotencyKey] = intent
    }

    /** The [record] of a scheduling round, which was written under [key] at [revision]. With [keep] it is never deleted. */
    fun round(
        key: String,
        record: RoundRecord,
        revision: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) = planJournal.replay(key, record, revision, nowMs, keep)

    /**
     * A round record of which not even the jobs can be read. Tasks that it planned may run unknown to this leader, until their
     * workers have sent a heartbeat or lost their leases. Nothing is planned before.
     */
    fun unreadableRound(nowMs: Long) {
        cluster.holdUntilMs = nowMs + cluster.timings.leaseExpiryMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS
    }

    /** A round record whose part about [jobId] cannot be read: the job keeps the tasks that it has and gets no new ones. */
    fun unreadableJob(jobId: String) {
        cluster.jobs[jobId]?.unreadable = true
    }

    /** Restores the estimates of a predecessor; jobs and machines that are not known here are left out. */
    fun restore(learnedState: LearnedState) {
        cluster.runTimes.restore(learnedState.logRatio)
        for ((id, probes) in learnedState.suspectJobs) cluster.jobs[id]?.let { failureAttribution.restore(it, probes) }
        for ((id, images) in learnedState.machineImages) {
            val machine = cluster.machines[id] ?: continue
            images.forEach { image -> learnedState.imageGb[image]?.let { machine.images.markPresent(image, it) } }
        }
    }

    /** Ends the replay: all records have been handed in, and the leader plans from now on. */
    fun complete(nowMs: Long) {
        isComplete = true
        zoneFencing.hasReadRecords = true
        cluster.replayedAtMs = nowMs
        // What was replayed is written already.
        for (job in cluster.jobs.values) {
            job.unwritten.clear()
        }
        cancellations.applyToReplayedJobs()
        for (job in cluster.jobs.values) if (job.cancelled) cluster.stopAll(job, nowMs)
    }
}
