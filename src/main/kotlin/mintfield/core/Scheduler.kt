package mintfield.core

import mintfield.core.constants.PlacementConstants
import mintfield.core.dependencies.DependencyGraph
import mintfield.core.dependencies.InheritedUrgency
import mintfield.core.fleet.FleetManager
import mintfield.core.fleet.ListedMachine
import mintfield.core.fleet.ZoneFencing
import mintfield.core.jobs.CommandPlanner
import mintfield.core.jobs.DirectCommands
import mintfield.core.jobs.HeartbeatReconciler
import mintfield.core.jobs.PlanJournal
import mintfield.core.model.AcceptedJob
import mintfield.core.model.Heartbeat
import mintfield.core.model.MachineType
import mintfield.core.model.Settings
import mintfield.core.model.StateLimitsInForce
import mintfield.core.ownership.Ownership
import mintfield.core.ownership.WholeFleet

/**
 * The decisions of one leader, from its election to the end of its lease: the entry to the pure core. It wires the components that
 * decide, and passes each event to the one that it concerns.
 *
 * It does no input or output. It is given events and the time, and asked what to write, to send and to call. What it returns may
 * be carried out only while the leader holds its lease. All functions are called from one thread; `nowMs` is the time of a steady
 * clock in milliseconds, `wallMs` the time of day.
 */
class Scheduler(
    settings: Settings,
    term: Long,
    /** Whether the job record shows a cancellation, also of a job that the replay has not reached yet. */
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
    private val commandPlanner = CommandPlanner(cluster, cancellations::isKnown)
    private val planJournal = PlanJournal(cluster, fleet)

    /** Restores what earlier leaders have recorded. */
    val replay = LeaderReplay(cluster, fleet, zoneFencing, planJournal, reconciler.failureAttribution, cancellations)
    private val jobs = JobLifecycle(cluster, dependencies, planJournal, cancellations, replay, log)
    internal val heartbeats = HeartbeatService(cluster, fleet, zoneFencing, reconciler, commandPlanner, cancellations, replay)
    private val directCommands = DirectCommands(cluster, reconciler, commandPlanner, log)
    private val commits =
        CommitPlanner(cluster, fleet, zoneFencing, planJournal, reconciler.failureAttribution, InheritedUrgency(cluster, dependencies), jobs::removed, log)

    /** Whether the replay has ended. Before that nothing is planned, and heartbeats are answered with the fencing token only. */
    val loaded: Boolean get() = replay.isComplete

    // ---- jobs ----

    /** A job was accepted or its record has changed. Records that are no newer than the known one have no effect. */
    fun jobChanged(
        accepted: AcceptedJob,
        nowMs: Long,
    ) = jobs.changed(accepted, nowMs)

    /** All predecessors of the job [id] are recorded as done: it may start. */
    fun becameReady(
        id: String,
        nowMs: Long,
    ) = jobs.becameReady(id, nowMs)

    /** A predecessor of the job [id] is cancelled: it has to be cancelled as well. */
    fun dependencyCancelled(id: String) = jobs.dependencyCancelled(id)

    /** The record of the job [id] is gone from the store: the job has ended, or its record was garbage-collected. */
    fun jobRemoved(
        id: String,
        nowMs: Long,
    ) = jobs.removed(id, nowMs)

    /** A peer has confirmed to a user that [id] is cancelled: its tasks stop now, whether or not this leader can read the record. */
    fun cancellationConfirmedByPeer(
        id: String,
        nowMs: Long,
    ) = jobs.cancellationConfirmedByPeer(id, nowMs)

    // ---- workers ----

    /**
     * Takes in a worker's [heartbeat] and decides how to answer it. [mayAct] says whether the leader still holds its lease;
     * [relayed] that the heartbeat came by way of a peer, and [viaRelayPeer] that workers are sent to a peer at the moment. All
     * cancellations that users were told of before [cancellationsToMs] are known here.
     */
    fun heartbeat(
        heartbeat: Heartbeat,
        mayAct: Boolean,
        nowMs: Long,
        relayed: Boolean = false,
        viaRelayPeer: Boolean = false,
        cancellationsToMs: Long = nowMs,
    ): HeartbeatResponse = heartbeats.answer(heartbeat, mayAct, nowMs, relayed, viaRelayPeer, cancellationsToMs)

    /** Commands that are to be sent straight to workers now, for [most] workers at the most. Each call has to be answered or given up. */
    fun directCalls(
        nowMs: Long,
        most: Int,
    ): List<DirectCall> = if (loaded) directCommands.calls(nowMs, most) else emptyList()

    /** The worker has answered [call] with its status in [heartbeat]; null if the answer could not be read. */
    fun directAnswered(
        call: DirectCall,
        heartbeat: Heartbeat?,
        nowMs: Long,
    ) = directCommands.onResponse(call, heartbeat, nowMs)

    /** There was no answer to [call]. Unless it was never [sent], it may still be executed late. */
    fun directUnanswered(
        call: DirectCall,
        sent: Boolean,
        nowMs: Long,
    ) = directCommands.onNoResponse(call, sent, nowMs)

    // ---- the store ----

    /**
     * The next transaction, of [ops] writes at the most; null if there is nothing to write. With [yielding] users wait for writes
     * of their own, and garbage collection is put off.
     */
    fun nextCommit(
        nowMs: Long,
        wallMs: Long,
        ops: Int,
        yielding: Boolean = false,
    ): Commit? = if (loaded && ops > 0) commits.next(nowMs, wallMs, ops, yielding) else null

    /** What became of [commit]. */
    fun committed(
        commit: Commit,
        result: CommitResult,
        nowMs: Long,
    ) = commits.committed(commit, result, nowMs)

    /** The [writes] of a commit found no room in its transaction. To be called before it is sent: they are planned again. */
    fun deferred(
        writes: List<Write>,
        nowMs: Long,
    ) = planJournal.putBack(writes, nowMs)

    /** A write without an answer may still be carried out: the term must rise, so that its precondition fails. */
    fun fenceLateWrites() = commits.fenceLateWrites()

    /** The leader key was rewritten: starts under lower terms are void wherever the new [term] has been seen. */
    fun raised(
        term: Long,
        nowMs: Long,
    ) = commits.raised(term, nowMs)

    // ---- the cloud ----

    /** The machine types that the cloud offers. */
    fun types(
        types: List<MachineType>,
        nowMs: Long,
    ) = fleet.typesRead(types, nowMs)

    /** One [page] of the cloud's machine list; [hasNext] if it is not the last one. */
    fun listed(
        page: List<ListedMachine>,
        hasNext: Boolean,
        nowMs: Long,
    ) = fleet.listed(page, hasNext, nowMs)

    /** The next request to the cloud; null if there is none at the moment. */
    fun cloudCall(nowMs: Long): CloudCall? = if (loaded) fleet.nextCall(nowMs) else null

    // ---- time ----

    /** Lets deadlines pass and sizes the fleet. To be called every [PlacementConstants.TICK_INTERVAL_MS] or so. */
    fun tick(nowMs: Long) {
        if (!loaded) return
        fleet.tick(nowMs)
        fleet.resize(nowMs)
    }

    /** One line for the log on what the leader schedules. */
    fun summary(nowMs: Long): String = clusterSummary(cluster, fleet, nowMs)
}
