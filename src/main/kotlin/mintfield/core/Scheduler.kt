package mintfield.core

import mintfield.core.constants.PlacementConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.CommandPlanner
import mintfield.core.jobs.DirectCallPlanner
import mintfield.core.jobs.HeartbeatReconciler
import mintfield.core.jobs.PlanJournal
import mintfield.core.model.AcceptedJob
import mintfield.core.model.Heartbeat
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/**
 * The scheduler of one leader, from its election to the end of its lease. It creates the components of the core and passes each event
 * to the component responsible for it.
 *
 * It performs no I/O. Callers pass in events and the time, and ask for the next transaction, direct calls and cloud requests. The
 * returned actions may be carried out only while the leader holds its lease. Not thread-safe: all functions are called from one
 * thread. `nowMs` is the time of a monotonic clock in milliseconds, `wallMs` the wall-clock time.
 */
class Scheduler(
    settings: Settings,
    term: Long,
    /** Whether the job record shows a cancellation. Also covers jobs that have not been replayed yet. */
    isRecordedAsCancelled: (String) -> Boolean = { false },
    ownership: Ownership = WholeFleet,
    dependencies: DependencyGraph = DependencyGraph { null },
    stateLimits: StateLimitsInForce = StateLimitsInForce(settings),
    log: (String) -> Unit,
) {
    val cluster = Cluster(settings, term, ownership, stateLimits, log)
    val fleet = FleetManager(cluster, log)
    val zoneFencing = ZoneFencing(cluster, log)
    private val cancellations = KnownCancellations(cluster, isRecordedAsCancelled)
    internal val reconciler = HeartbeatReconciler(cluster, log)
    private val commandPlanner = CommandPlanner(cluster, cancellations::isKnown, log)
    private val planJournal = PlanJournal(cluster, fleet)

    /** Restores the state from the records of earlier leaders. */
    val replay = LeaderReplay(cluster, fleet, zoneFencing, planJournal, reconciler.failureAttribution)
    private val jobs = JobLifecycle(cluster, dependencies, planJournal, cancellations, replay, log)
    internal val heartbeats = HeartbeatService(cluster, fleet, zoneFencing, reconciler, commandPlanner, cancellations, replay)
    private val directCallPlanner = DirectCallPlanner(cluster, reconciler, commandPlanner, log)
    private val commits =
        CommitPlanner(cluster, fleet, zoneFencing, planJournal, reconciler.failureAttribution, InheritedUrgency(cluster, dependencies), jobs::removed, log)

    /** Whether the replay has ended. Before that nothing is planned, and responses to heartbeats start no tasks. */
    val isReplayComplete: Boolean get() = replay.isComplete

    // ---- jobs ----

    /** Adds or updates an accepted job from its record. Records that are not newer than the known one have no effect. */
    fun jobChanged(
        accepted: AcceptedJob,
        nowMs: Long,
    ) = jobs.changed(accepted, nowMs)

    /** Makes job [id] schedulable, after all its predecessors have been recorded as done. */
    fun becameReady(
        id: String,
        nowMs: Long,
    ) = jobs.becameReady(id, nowMs)

    /** Marks job [id] for cancellation, because a predecessor was cancelled. */
    fun dependencyCancelled(id: String) = jobs.dependencyCancelled(id)

    /** Removes job [id], whose record was removed from the store: the job has ended, or its record was garbage-collected. */
    fun jobRemoved(
        id: String,
        nowMs: Long,
    ) = jobs.removed(id, nowMs)

    /** Cancels job [id], whose cancellation a controller confirms to the user. Its tasks stop even if this leader cannot read the job's record. */
    fun cancellationConfirmed(
        id: String,
        nowMs: Long,
    ) = jobs.cancellationConfirmed(id, nowMs)

    /** Records that a read of all changes of jobs, sent at [sentAtMs], is complete and that its changes were passed to this scheduler. */
    fun jobRecordsRead(sentAtMs: Long) = jobs.recordsRead(sentAtMs)

    // ---- workers ----

    /**
     * Applies a worker's [heartbeat] to the leader's state and returns the response. [mayAct] states whether the leader still holds
     * its lease, [relayed] whether a peer relayed the heartbeat, and [viaRelayPeer] whether workers are currently redirected to a relay
     * peer. This leader knows all cancellations confirmed to users before [cancellationsToMs].
     */
    fun heartbeat(
        heartbeat: Heartbeat,
        mayAct: Boolean,
        nowMs: Long,
        relayed: Boolean = false,
        viaRelayPeer: Boolean = false,
        cancellationsToMs: Long = nowMs,
    ): HeartbeatResponse = heartbeats.respond(heartbeat, mayAct, nowMs, relayed, viaRelayPeer, cancellationsToMs)

    /** Returns commands to be sent directly to at most [maxCalls] workers. Each call must be concluded by [directCallResponded] or [directCallUnanswered]. */
    fun directCalls(
        nowMs: Long,
        maxCalls: Int,
    ): List<DirectCall> = if (isReplayComplete) directCallPlanner.calls(nowMs, maxCalls) else emptyList()

    /** Applies the response to [call]: the worker's status in [heartbeat], or null if the response could not be read. */
    fun directCallResponded(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) = directCallPlanner.onResponse(call, heartbeat, nowMs)

    /** Records that [call] got no response. If it was [sent], the worker may still execute it later. */
    fun directCallUnanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) = directCallPlanner.onNoResponse(call, sent, nowMs)

    // ---- the store ----

    /**
     * Returns the next transaction, of at most [ops] writes, or null if there is nothing to write. [yielding] is true while users
     * wait for writes of their own, and defers garbage collection.
     */
    fun nextCommit(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean = false,
    ): Commit? = if (isReplayComplete && ops > 0) commits.next(nowMs, wallMs, ops, yielding) else null

    /** Applies the outcome of [commit] to the leader's state. */
    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) = commits.committed(commit, result, nowMs)

    /** Plans [writes] of a commit again that did not fit into its transaction. Must be called before the transaction is sent. */
    fun deferred(
        writes: List<Write>,
        nowMs: Long,
    ) = planJournal.markUnwritten(writes, nowMs)

    /** Requests a higher term, so that the precondition of an unanswered write fails if the write is still carried out later. */
    fun fenceLateWrites() = commits.fenceLateWrites()

    /** Adopts [term] after the leader key was rewritten: transactions under lower terms can no longer be applied. */
    fun termRaised(
        term: Long,
        nowMs: Long,
    ) = commits.termRaised(term, nowMs)

    // ---- the cloud ----

    /** Returns the next request to the cloud, or null if there is none. */
    fun cloudCall(nowMs: Long): CloudCall? = if (isReplayComplete) fleet.nextCall(nowMs) else null

    // ---- time ----

    /** Processes expired deadlines and sizes the fleet. Must be called about every [PlacementConstants.TICK_INTERVAL_MS]. */
    fun tick(nowMs: Long) {
        if (!isReplayComplete) return
        fleet.tick(nowMs)
        fleet.resize(nowMs)
    }

    /** The leader's periodic log line with the counts of jobs, attempts and machines. */
    fun summary(nowMs: Long): String = clusterSummary(cluster, fleet, nowMs)
}
