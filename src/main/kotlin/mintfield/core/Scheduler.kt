package mintfield.core

import mintfield.core.constants.FleetConstants
import mintfield.core.constants.LeadershipConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.AttemptState
import mintfield.core.jobs.DirectCommands
import mintfield.core.jobs.HeartbeatReconciler
import mintfield.core.jobs.Job
import mintfield.core.jobs.JobHealth
import mintfield.core.jobs.PlanJournal
import mintfield.core.jobs.RoundRecord
import mintfield.core.leadership.LeaseRenewalLimit
import mintfield.core.model.AcceptedJob
import mintfield.core.model.Heartbeat
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.core.model.TaskState
import mintfield.core.model.WorkerCommand
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/** How a heartbeat is answered. */
sealed interface HeartbeatResponse {
    data class Commands(
        val term: Long,
        val commands: List<WorkerCommand>,
    ) : HeartbeatResponse

    /** The worker has seen a higher term: this leader's time is over. */
    data object Deposed : HeartbeatResponse

    /** Another share's leader acts for the machine, or nobody does at the moment. */
    data object NotOwner : HeartbeatResponse

    /** It may not be answered yet. */
    data object ZoneFenced : HeartbeatResponse

    /** It must not be answered: its machine may hold a task that is cancelled unknown to this leader. */
    data object RenewalRefused : HeartbeatResponse
}

/**
 * The leader's decisions. It does no input or output: it is told what happened and what time it is, and asked what to
 * write, what to send and what to ask of the cloud. Nothing it returns may be carried out after the leader's lease.
 */
class Scheduler(
    settings: Settings,
    term: Long,
    /** Whether a job is recorded as cancelled, also before the replay has told of it. */
    private val isRecordedAsCancelled: (String) -> Boolean = { false },
    private val ownership: Ownership = WholeFleet,
    private val dependencies: DependencyGraph = DependencyGraph { null },
    stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    private val log: (String) -> Unit,
) {
    val cluster = Cluster(settings, term, ownership, stateLimits, log)
    private val leaseRenewalLimit = LeaseRenewalLimit(settings)
    internal val heartbeats = HeartbeatReconciler(cluster, ::isKnownAsCancelled, log)
    val fleet = FleetManager(cluster, log)
    val zoneFencing = ZoneFencing(cluster, log)

    private val planJournal = PlanJournal(cluster, fleet)
    private val commits =
        CommitPlanner(cluster, fleet, zoneFencing, planJournal, heartbeats.failureAttribution, InheritedUrgency(cluster, dependencies), ::jobRemoved, log)
    private val direct = DirectCommands(cluster, heartbeats, log)

    /** Workers that were answered before the replay, and when the last of them came for the first time. */
    private val renewed = HashSet<String>()
    private var lastRenewedMs = Machine.NEVER

    /**
     * Jobs that peers told of as cancelled before the replay. The store may fall silent before the view shows them,
     * and what the peers have told counts as known when workers are renewed.
     */
    private val cancelledBeforeReplay = HashSet<String>()

    /** Replay has ended; before, reports are answered with the term only. */
    var loaded = false
        private set

    // ---- replay ----

    /** Whether workers still come for the first time since the election, whose leases must not run out for the replay's sake. */
    fun renewing(nowMs: Long) = nowMs - lastRenewedMs < LeadershipConstants.FIRST_HEARTBEATS_QUIET_MS

    fun types(
        types: List<MachineType>,
        nowMs: Long,
    ) = fleet.typesRead(types, nowMs)

    fun replayIntent(intent: ScaleOutIntent) {
        fleet.intents[intent.idempotencyKey] = intent
    }

    fun replayRound(
        key: String,
        record: RoundRecord,
        revision: Long,
        nowMs: Long,
        keep: Boolean = false,
    ) = planJournal.replay(key, record, revision, nowMs, keep)

    /**
     * A round record of which not even the jobs can be told. What it planned is at work unknown to us, until its workers
     * have reported or lost their leases; nothing is planned before.
     */
    fun replayUnreadableRound(nowMs: Long) {
        cluster.holdUntilMs = nowMs + cluster.timings.leaseExpiryMs + FleetConstants.UNRESPONSIVE_RELEASE_SLACK_MS
    }

    /** What cannot be read may plan anything anywhere: the job keeps what it has, and gets nothing new. */
    fun replayUnreadableJob(jobId: String) {
        cluster.jobs[jobId]?.unreadable = true
    }

    /** Takes over what an earlier leader had learned; machines that it does not know are left out. */
    fun restore(learnedState: LearnedState) {
        cluster.runTimes.restore(learnedState.logRatio)
        for ((id, probes) in learnedState.suspectJobs) cluster.jobs[id]?.let { heartbeats.failureAttribution.restore(it, probes) }
        for ((id, images) in learnedState.machineImages) {
            val m = cluster.machines[id] ?: continue
            images.forEach { image -> learnedState.imageGb[image]?.let { m.images.markPresent(image, it) } }
        }
    }

    fun replayDone(nowMs: Long) {
        loaded = true
        zoneFencing.read = true
        cluster.replayedAtMs = nowMs
        // What was replayed is written already.
        for (job in cluster.jobs.values) {
            job.changed.clear()
            job.unwrittenSinceMs = 0
        }
        cancelledBeforeReplay.forEach { id -> cluster.jobs[id]?.cancelled = true }
        for (job in cluster.jobs.values) if (job.cancelled) job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "cancelled", quietly = true) }
    }

    // ---- jobs ----

    fun jobChanged(
        accepted: AcceptedJob,
        nowMs: Long,
    ) {
        val job = cluster.jobs[accepted.spec.id]
        if (job == null) {
            add(Job(accepted), nowMs)
            return
        }
        if (accepted.revision <= job.revision) return
        job.revision = accepted.revision
        job.finishing = false
        job.cancellationRecorded = accepted.cancelled
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

    /** All predecessors of the job [id] have recorded that they are done: it may start. */
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

    /** A job that [id] depends on is cancelled, and so [id] is to be. */
    fun dependencyCancelled(id: String) {
        cluster.jobs[id]?.let(cluster.cancelledByDependency::add)
    }

    /** The job's key is gone from the store: it is finished, or swept. */
    fun jobRemoved(
        id: String,
        nowMs: Long,
    ) {
        val job = cluster.jobs.remove(id) ?: return
        cluster.unprovenJobs.remove(job)
        cluster.cancelledByDependency.remove(job)
        job.coveringRounds.keys
            .toList()
            .forEach { planJournal.superseded(job, it, Long.MAX_VALUE) }
        // A line for each would fill the log of a leader that comes back and finds everything ended.
        if (job.activeAttempts.isNotEmpty()) log("$id: gone from the store, ${job.activeAttempts.size} tasks are left to their workers' heartbeats")
        for (a in job.activeAttempts.toList()) cluster.release(a, nowMs, Cluster.DESCRIBED_ANEW)
    }

    // ---- workers ----

    fun heartbeat(
        heartbeat: Heartbeat,
        mayAct: Boolean,
        nowMs: Long,
        relayed: Boolean = false,
        viaRelayPeer: Boolean = false,
        /** All cancellations that users were told of before this moment are known here. */
        cancellationsToMs: Long = nowMs,
    ): HeartbeatResponse {
        if (!ownership.owns(heartbeat.machine)) return HeartbeatResponse.NotOwner
        val token = maxOf(cluster.term, ownership.epoch(heartbeat.machine))
        if (heartbeat.termSeen > token) return HeartbeatResponse.Deposed
        if (!zoneFencing.mayAnswer(heartbeat.machine)) return HeartbeatResponse.ZoneFenced
        val mayRenew = leaseRenewalLimit.allows(nowMs - cancellationsToMs)
        if (!loaded) {
            if (!mayRenew) return HeartbeatResponse.RenewalRefused
            known(heartbeat, nowMs)?.lease?.renew(nowMs)
            if (renewed.add(heartbeat.machine)) lastRenewedMs = nowMs
            return stops(heartbeat)
        }
        val m = known(heartbeat, nowMs) ?: return if (mayRenew) stops(heartbeat) else HeartbeatResponse.RenewalRefused
        m.directRoute.heartbeatCame(relayed, viaRelayPeer)
        if (m.state == MachineState.PROVISIONING &&
            heartbeat.incarnation == 1L &&
            heartbeat.termSeen == 0L
        ) {
            fleet.bootTimes.cameUp(m, nowMs - m.origin.firstSeenAtMs, nowMs)
        }
        val fresh = heartbeats.take(m, heartbeat, viaHeartbeat = true, nowMs)
        if (!mayRenew || (!mayAct && heartbeats.mayStartCancelled(m, heartbeat))) return HeartbeatResponse.RenewalRefused
        m.lease.renew(nowMs)
        if (!fresh || !mayAct) return stops(heartbeat)
        return HeartbeatResponse.Commands(token, heartbeats.commands(m, viaHeartbeat = true, nowMs))
    }

    /**
     * An answer that only renews, and stops what is recorded as cancelled. That record is for ever, so such a stop is right
     * whoever leads and whenever it arrives: a leader past its lease may give it too.
     */
    private fun stops(heartbeat: Heartbeat): HeartbeatResponse =
        HeartbeatResponse.Commands(
            maxOf(cluster.term, ownership.epoch(heartbeat.machine)),
            heartbeat.tasks
                .filter { it.state != TaskState.ENDED && isKnownAsCancelled(it.task.job) }
                .map { WorkerCommand.Stop(it.task, it.attempt, 0.0) },
        )

    private fun isKnownAsCancelled(job: String) = cluster.jobs[job]?.cancelled == true || job in cancelledBeforeReplay || isRecordedAsCancelled(job)

    /** A peer has told a user that [id] is cancelled: its tasks stop now, whatever this leader can read itself. */
    fun cancellationConfirmedByPeer(
        id: String,
        nowMs: Long,
    ) {
        if (!loaded) cancelledBeforeReplay.add(id)
        cluster.jobs[id]?.takeIf { !it.cancelled }?.let { cancel(it, nowMs) }
    }

    private fun cancel(
        job: Job,
        nowMs: Long,
    ) {
        job.cancelled = true
        log("${job.id}: cancelled, ${job.activeAttempts.size} tasks to stop")
        job.activeAttempts.toList().forEach { cluster.stop(it, nowMs, "cancelled", quietly = true) }
    }

    private fun known(
        heartbeat: Heartbeat,
        nowMs: Long,
    ): Machine? {
        val m = fleet.registry.machine(heartbeat.machine, heartbeat.type, heartbeat.zone, heartbeat.spot, nowMs)
        if (m == null || !m.provisional) return m
        return fleet.registry.redescribe(m, heartbeat.type, heartbeat.zone, heartbeat.spot, nowMs)
    }

    fun directCalls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> = if (loaded) direct.calls(nowMs, most) else emptyList()

    fun directAnswered(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) = direct.answered(call, heartbeat, nowMs)

    fun directUnanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) = direct.unanswered(call, sent, nowMs)

    // ---- time ----

    fun tick(nowMs: Long) {
        if (!loaded) return
        fleet.tick(nowMs)
        fleet.size(nowMs)
    }

    // ---- the store ----

    /** The next transaction of at most [ops] writes; null if there is nothing to write. [yielding]: users wait for their own writes. */
    fun nextCommit(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean = false,
    ): Commit? = if (loaded && ops > 0) commits.next(nowMs, wallMs, ops, yielding) else null

    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) = commits.committed(commit, result, nowMs)

    /** Writes that found no room in their transaction. */
    fun untaken(
        writes: List<Write>,
        nowMs: Long,
    ) = planJournal.putBack(writes, nowMs)

    /** A write without an answer may yet be carried out: the term must rise, so that its guard fails. */
    fun fenceLateWrites() = commits.fenceLateWrites()

    /** The leader key was rewritten: starts under lower terms are void wherever the new one is seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) = commits.raised(term, nowMs)

    // ---- the cloud ----

    fun cloudCall(nowMs: Long): CloudCall? = if (loaded) fleet.nextCall(nowMs) else null

    fun listed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) = fleet.listed(page, hasNext, nowMs)

    /** Attempts that run, for what users are shown. */
    fun runningCount(job: Job): Int = job.count(AttemptState.RUNNING)

    /** One line for the log: how much runs where. */
    fun summary(nowMs: Long): String {
        val by =
            cluster.machines.values
                .groupingBy { it.state }
                .eachCount()
        val free =
            cluster.machines.values
                .filter { it.state == MachineState.UP }
                .sumOf { it.freeCpus }
        val suspectJobs = cluster.unprovenJobs.count { it.health == JobHealth.SUSPECT }
        val waiting =
            cluster.jobs.values
                .filter { !it.cancelled && it.ready }
                .sumOf { it.waitingCount }
        val dependent = cluster.jobs.values.count { !it.cancelled && !it.ready }
        val attempts =
            cluster.machines.values
                .flatMap { it.attempts }
                .groupingBy { it.state }
                .eachCount()
        return "term ${cluster.term}: ${cluster.jobs.size} jobs, $suspectJobs of them suspect, $dependent wait for predecessors, " +
            "attempts $attempts, $waiting waiting, machines $by, ${fleet.overdueCount(nowMs)} overdue, ${free.toInt()} CPUs free"
    }
}
