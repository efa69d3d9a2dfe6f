package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.constants.ShardingConstants
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState

/**
 * The querying side of foreign tasks: tracks the attempts of this shard's jobs on machines that other shards own now. Queries the leaders
 * of the other shards, applies their responses to the attempts, and has ended tasks acknowledged once their results are recorded.
 */
class RemoteTaskTracker(
    private val scheduler: Scheduler,
) {
    private class EndedTask(
        val task: TaskId,
        val attempt: Long,
        val hasResult: Boolean,
    )

    private val cluster = scheduler.cluster

    /** Ended tasks that their workers still report, by machine. */
    private val endedTasks = HashMap<String, MutableMap<TaskId, EndedTask>>()
    private var lastQueryMs = Machine.NEVER

    /** The queries due at [nowMs], one for each machine; empty if the query interval has not passed since the last queries. */
    fun dueQueries(nowMs: Long): List<ForeignTaskQuery> {
        if (!scheduler.isReplayComplete || nowMs - lastQueryMs < ShardingConstants.FOREIGN_TASK_QUERY_INTERVAL_MS) return emptyList()
        lastQueryMs = nowMs
        val remoteMachines = cluster.machines.values.filter { it.state == MachineState.OWNED_ELSEWHERE }
        return (remoteMachines.map { it.id } + endedTasks.keys)
            .distinct()
            .map { ForeignTaskQuery(it, refsOn(it)) }
            .filter { it.tasks.isNotEmpty() }
    }

    private fun refsOn(machine: String): List<ForeignTaskRef> {
        val attempts = cluster.machines[machine]?.attempts.orEmpty()
        val ended = endedTasks[machine]?.values.orEmpty()
        return attempts.map { ForeignTaskRef(cluster.taskId(it), it.number, actionFor(it)) } +
            ended.filter(::mayBeAcknowledged).map { ForeignTaskRef(it.task, it.attempt, ForeignTaskRef.Action.ACKNOWLEDGE) }
    }

    private fun actionFor(attempt: Attempt) = if (attempt.state == AttemptState.STOPPING) ForeignTaskRef.Action.STOP else ForeignTaskRef.Action.QUERY

    /** Whether the worker may delete the ended task. Until its result is recorded, the worker has the only copy. */
    private fun mayBeAcknowledged(ended: EndedTask): Boolean {
        val job = cluster.jobs[ended.task.job] ?: return true
        return !ended.hasResult || job.cancelled || job.progress.isDoneRecorded(ended.task.index)
    }

    /** Applies the [response] of the machine's owner to [query]. */
    fun applyResponse(
        query: ForeignTaskQuery,
        response: ForeignTaskResponse,
        nowMs: Long,
    ) {
        if (response !is ForeignTaskResponse.Status) return
        val present = response.present.associateBy { it.task }
        for (ref in query.tasks) {
            val status = present[ref.task]?.takeIf { it.attempt == ref.attempt }
            if (ref.action == ForeignTaskRef.Action.ACKNOWLEDGE) {
                if (status == null) forgetEnded(query.machine, ref.task)
                continue
            }
            val attempt = remoteAttempt(query.machine, ref) ?: continue
            if (status?.state == TaskState.ENDED) {
                endedTasks.getOrPut(query.machine) { HashMap() }[ref.task] = EndedTask(ref.task, ref.attempt, status.cause == ExitReason.DONE)
            }
            scheduler.reconciler.statusFromOwner(attempt, status, nowMs)
        }
        removeIfEmpty(query.machine)
    }

    private fun forgetEnded(
        machine: String,
        task: TaskId,
    ) {
        val onMachine = endedTasks[machine] ?: return
        onMachine.remove(task)
        if (onMachine.isEmpty()) endedTasks.remove(machine)
    }

    /** The attempt that [ref] denotes; null if it is no longer on [machine] or another shard no longer owns the machine. */
    private fun remoteAttempt(
        machine: String,
        ref: ForeignTaskRef,
    ): Attempt? =
        cluster.jobs[ref.task.job]
            ?.attempt(ref.task.index)
            ?.takeIf { it.number == ref.attempt && it.machine.id == machine && it.machine.state == MachineState.OWNED_ELSEWHERE }

    /** Removes a machine of another shard once no attempt of this shard is on it. */
    private fun removeIfEmpty(id: String) {
        val machine = cluster.machines[id] ?: return
        if (machine.state == MachineState.OWNED_ELSEWHERE && machine.attempts.isEmpty()) cluster.machines.remove(id)
    }
}
