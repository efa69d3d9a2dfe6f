package mintfield.core.ownership

import mintfield.core.Scheduler
import mintfield.core.Tuning
import mintfield.core.fleet.Machine
import mintfield.core.fleet.MachineState
import mintfield.core.jobs.Attempt
import mintfield.core.jobs.AttemptState
import mintfield.core.model.EndCause
import mintfield.core.model.ReportedState
import mintfield.core.model.ReportedTask
import mintfield.core.model.TaskId

/** A task that the asking leader planned on a machine which is another share's now, and what it wants of it. */
data class GuestRef(
    val task: TaskId,
    val attempt: Long,
    val wish: Wish,
) {
    enum class Wish { TELL, HALT, CLEAR }
}

/** A question to the owner of [machine] about tasks there. */
data class GuestQuery(
    val machine: String,
    val tasks: List<GuestRef>,
)

sealed interface GuestAnswer {
    /** Whoever was asked does not own the machine. */
    data object NotItsOwner : GuestAnswer

    /** The worker has not reported under this owner's token yet: what is absent may still come. */
    data object NotHeardYet : GuestAnswer

    /** What the worker's last report shows of the tasks; those that it does not show are absent for good. */
    data class Told(
        val present: List<ReportedTask>,
    ) : GuestAnswer
}

/** The owner's side: answers what became of tasks that other shares' leaders have on its machines. */
class GuestDesk(
    private val scheduler: Scheduler,
) {
    fun answer(
        query: GuestQuery,
        nowMs: Long,
    ): GuestAnswer {
        val cluster = scheduler.cluster
        val m = cluster.machines[query.machine]
        if (m == null || m.state == MachineState.AWAY || !cluster.ownership.owns(query.machine)) return GuestAnswer.NotItsOwner
        if (!cluster.heardOurs(m) || m.lastReport == null) return GuestAnswer.NotHeardYet
        if (scheduler.fleet.leaseEnded(m, nowMs)) return GuestAnswer.Told(emptyList())
        for (ref in query.tasks) {
            val guest = m.guests[ref.task]?.takeIf { it.reported.attempt == ref.attempt } ?: continue
            if (ref.wish == GuestRef.Wish.HALT) guest.haltWanted = true
            if (ref.wish == GuestRef.Wish.CLEAR) guest.clearWanted = true
            m.quiet = false
        }
        val asked = query.tasks.associate { it.task to it.attempt }
        return GuestAnswer.Told(
            m.lastReport
                ?.tasks
                .orEmpty()
                .filter { asked[it.task] == it.attempt },
        )
    }
}

/** The asking side: what a leader has planned on machines that are other shares' now, and how it learns what becomes of that. */
class AwayTasks(
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
    fun due(nowMs: Long): List<GuestQuery> {
        if (!scheduler.loaded || nowMs - lastMs < Tuning.GUEST_QUERY_MS) return emptyList()
        lastMs = nowMs
        val away =
            scheduler.cluster.machines.values
                .filter { it.state == MachineState.AWAY }
        return (away.map { it.id } + ended.keys).distinct().map { GuestQuery(it, refs(it)) }.filter { it.tasks.isNotEmpty() }
    }

    private fun refs(machine: String): List<GuestRef> {
        val attempts =
            scheduler.cluster.machines[machine]
                ?.attempts
                .orEmpty()
        val running = attempts.map { GuestRef(scheduler.cluster.taskId(it), it.number, wish(it)) }
        val over =
            ended[machine]
                ?.values
                .orEmpty()
                .filter { recorded(it) }
                .map { GuestRef(it.task, it.attempt, GuestRef.Wish.CLEAR) }
        return running + over
    }

    private fun wish(a: Attempt) = if (a.state == AttemptState.STOPPING) GuestRef.Wish.HALT else GuestRef.Wish.TELL

    private fun recorded(e: Ended): Boolean {
        val job = scheduler.cluster.jobs[e.task.job] ?: return true
        return !e.result || job.withdrawn || job.doneWritten.get(e.task.index)
    }

    /** The owner of the machine asked about has answered [query]. */
    fun answered(
        query: GuestQuery,
        answer: GuestAnswer,
        nowMs: Long,
    ) {
        if (answer !is GuestAnswer.Told) return
        val present = answer.present.associateBy { it.task }
        for (ref in query.tasks) {
            val told = present[ref.task]?.takeIf { it.attempt == ref.attempt }
            if (ref.wish == GuestRef.Wish.CLEAR) {
                if (told == null) forget(query.machine, ref.task)
                continue
            }
            val attempt = attempt(query.machine, ref) ?: continue
            if (told?.state == ReportedState.ENDED) {
                ended.getOrPut(query.machine) { HashMap() }[ref.task] = Ended(ref.task, ref.attempt, told.cause == EndCause.DONE)
            }
            scheduler.reports.toldByOwner(attempt, told, nowMs)
        }
        val m = scheduler.cluster.machines[query.machine]
        if (m != null && m.state == MachineState.AWAY && m.attempts.isEmpty()) scheduler.cluster.machines.remove(m.id)
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
        ref: GuestRef,
    ): Attempt? {
        val a = scheduler.cluster.jobs[ref.task.job]?.attempt(ref.task.index) ?: return null
        return a.takeIf { it.number == ref.attempt && it.machine.id == machine && it.machine.state == MachineState.AWAY }
    }
}
