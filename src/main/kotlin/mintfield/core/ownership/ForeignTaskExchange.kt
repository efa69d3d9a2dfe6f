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
import mintfield.core.model.TaskStatus

/** A task that the asking leader planned on a machine which is another share's now, and what it wants of it. */
data class ForeignTaskRef(
    val task: TaskId,
    val attempt: Long,
    val action: Action,
) {
    enum class Action { QUERY, STOP, ACKNOWLEDGE }
}

/** A question to the owner of [machine] about tasks there. */
data class ForeignTaskQuery(
    val machine: String,
    val tasks: List<ForeignTaskRef>,
)

sealed interface ForeignTaskAnswer {
    /** Whoever was asked does not own the machine. */
    data object NotOwner : ForeignTaskAnswer

    /** The worker has not reported under this owner's token yet: what is absent may still come. */
    data object NoHeartbeatYet : ForeignTaskAnswer

    /** What the worker's last heartbeat shows of the tasks; those that it does not show are absent for good. */
    data class Status(
        val present: List<TaskStatus>,
    ) : ForeignTaskAnswer
}

/** The owner's side: answers what became of tasks that other shares' leaders have on its machines. */
class ForeignTaskResponder(
    private val scheduler: Scheduler,
) {
    fun answer(
        query: ForeignTaskQuery,
        nowMs: Long,
    ): ForeignTaskAnswer {
        val cluster = scheduler.cluster
        val m = cluster.machines[query.machine]
        if (m == null || m.state == MachineState.OWNED_ELSEWHERE || !cluster.ownership.owns(query.machine)) return ForeignTaskAnswer.NotOwner
        if (!cluster.hasSeenOurToken(m) || m.lastHeartbeat == null) return ForeignTaskAnswer.NoHeartbeatYet
        if (scheduler.fleet.leaseExpired(m, nowMs)) return ForeignTaskAnswer.Status(emptyList())
        for (ref in query.tasks) {
            val foreign = m.foreignTasks[ref.task]?.takeIf { it.status.attempt == ref.attempt } ?: continue
            if (ref.action == ForeignTaskRef.Action.STOP) foreign.wantStop()
            if (ref.action == ForeignTaskRef.Action.ACKNOWLEDGE) foreign.wantAcknowledge()
            m.occupancy.markReconciled(false)
        }
        val asked = query.tasks.associate { it.task to it.attempt }
        return ForeignTaskAnswer.Status(
            m.lastHeartbeat
                ?.tasks
                .orEmpty()
                .filter { asked[it.task] == it.attempt },
        )
    }
}

/** The asking side: what a leader has planned on machines that are other shares' now, and how it learns what becomes of that. */
class RemoteTasks(
    private val scheduler: Scheduler,
) {
    private class Ended(
        val task: TaskId,
        val attempt: Long,
        val result: Boolean,
    )

    /** Ended tasks that their workers still report, by machine: they may forget them once that is recorded. */
    private val ended = HashMap<String, MutableMap<TaskId, Ended>>()
    private var lastMs = Machine.NEVER

    /** The questions that are due, one for each machine. */
    fun due(nowMs: Long): List<ForeignTaskQuery> {
        if (!scheduler.loaded || nowMs - lastMs < ShardingConstants.FOREIGN_TASK_QUERY_INTERVAL_MS) return emptyList()
        lastMs = nowMs
        val remoteMachines =
            scheduler.cluster.machines.values
                .filter { it.state == MachineState.OWNED_ELSEWHERE }
        return (remoteMachines.map { it.id } + ended.keys).distinct().map { ForeignTaskQuery(it, refs(it)) }.filter { it.tasks.isNotEmpty() }
    }

    private fun refs(machine: String): List<ForeignTaskRef> {
        val attempts =
            scheduler.cluster.machines[machine]
                ?.attempts
                .orEmpty()
        val running = attempts.map { ForeignTaskRef(scheduler.cluster.taskId(it), it.number, action(it)) }
        val over =
            ended[machine]
                ?.values
                .orEmpty()
                .filter { recorded(it) }
                .map { ForeignTaskRef(it.task, it.attempt, ForeignTaskRef.Action.ACKNOWLEDGE) }
        return running + over
    }

    private fun action(a: Attempt) = if (a.state == AttemptState.STOPPING) ForeignTaskRef.Action.STOP else ForeignTaskRef.Action.QUERY

    private fun recorded(e: Ended): Boolean {
        val job = scheduler.cluster.jobs[e.task.job] ?: return true
        return !e.result || job.cancelled || job.progress.isDoneRecorded(e.task.index)
    }

    /** The owner of the machine asked about has answered [query]. */
    fun answered(
        query: ForeignTaskQuery,
        answer: ForeignTaskAnswer,
        nowMs: Long,
    ) {
        if (answer !is ForeignTaskAnswer.Status) return
        val present = answer.present.associateBy { it.task }
        for (ref in query.tasks) {
            val observed = present[ref.task]?.takeIf { it.attempt == ref.attempt }
            if (ref.action == ForeignTaskRef.Action.ACKNOWLEDGE) {
                if (observed == null) forget(query.machine, ref.task)
                continue
            }
            val attempt = attempt(query.machine, ref) ?: continue
            if (observed?.state == TaskState.ENDED) {
                ended.getOrPut(query.machine) { HashMap() }[ref.task] = Ended(ref.task, ref.attempt, observed.cause == ExitReason.DONE)
            }
            scheduler.reconciler.statusFromOwner(attempt, observed, nowMs)
        }
        val m = scheduler.cluster.machines[query.machine]
        if (m != null && m.state == MachineState.OWNED_ELSEWHERE && m.attempts.isEmpty()) scheduler.cluster.machines.remove(m.id)
    }

    private fun forget(
        machine: String,
        task: TaskId,
    ) {
        val left = ended[machine] ?: return
        left.remove(task)
        if (left.isEmpty()) ended.remove(machine)
    }

    private fun attempt(
        machine: String,
        ref: ForeignTaskRef,
    ): Attempt? {
        val a = scheduler.cluster.jobs[ref.task.job]?.attempt(ref.task.index) ?: return null
        return a.takeIf { it.number == ref.attempt && it.machine.id == machine && it.machine.state == MachineState.OWNED_ELSEWHERE }
    }
}
