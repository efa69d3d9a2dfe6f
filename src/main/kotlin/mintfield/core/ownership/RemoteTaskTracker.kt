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
 * The asking side of foreign tasks: follows the attempts of this shard's jobs on machines that other shards own by now. It asks their
 * leaders, applies their answers to the attempts, and has ended tasks acknowledged once their results are recorded.
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

    /** The queries that are due, one for each machine; none between two intervals. */
    fun dueQueries(nowMs: Long): List<ForeignTaskQuery> {
        if (!scheduler.loaded || nowMs - lastQueryMs < ShardingConstants.FOREIGN_TASK_QUERY_INTERVAL_MS) return emptyList()
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

    /** The worker must keep a result until it is recorded, since it is the only one that has it. */
    private fun mayBeAcknowledged(ended: EndedTask): Boolean {
        val job = cluster.jobs[ended.task.job] ?: return true
        return !ended.hasResult || job.cancelled || job.progress.isDoneRecorded(ended.task.index)
    }

    /** The owner of the machine has given [answer] to [query]. */
    fun answered(
        query: ForeignTaskQuery,
        answer: ForeignTaskAnswer,
        nowMs: Long,
    ) {
        if (answer !is ForeignTaskAnswer.Status) return
        val present = answer.present.associateBy { it.task }
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

    /** The attempt that [ref] means, if it is still on [machine] and that still is another shard's. */
    private fun remoteAttempt(
        machine: String,
        ref: ForeignTaskRef,
    ): Attempt? =
        cluster.jobs[ref.task.job]
            ?.attempt(ref.task.index)
            ?.takeIf { it.number == ref.attempt && it.machine.id == machine && it.machine.state == MachineState.OWNED_ELSEWHERE }

    /** A machine of another shard is of no interest any more once none of this shard's attempts is on it. */
    private fun removeIfEmpty(id: String) {
        val machine = cluster.machines[id] ?: return
        if (machine.state == MachineState.OWNED_ELSEWHERE && machine.attempts.isEmpty()) cluster.machines.remove(id)
    }
}
