package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.ExitReason
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId

/** Checks the protocol's rules against what really happens on the workers and in the store; it throws a [RuleViolation]. */
class RuleChecker(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cloud: SimulatedCloud,
) {
    private val specs = HashMap<String, JobSpec>()
    private val completed = HashSet<TaskId>()
    private var withoutLeaderAtMs = 0L

    /** Starts of tasks on workers so far. */
    var starts = 0
        private set

    /** A user has submitted [spec]. */
    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Notes the tasks that have completed on a worker. */
    fun recordCompletions() {
        for (worker in cloud.workers) {
            if (!worker.alive) continue
            worker.tasks.forEach { (id, task) -> if (task.exitReason == ExitReason.DONE) completed.add(id) }
        }
    }

    /** Checks the start of [task] on [worker]. */
    fun started(
        worker: SimWorker,
        task: TaskId,
    ) {
        starts++
        val spec = specs[task.job] ?: throw RuleViolation("$task started, but nobody submitted it")
        spec.predecessors.firstOrNull { store.finalStates[it] != JobPhase.DONE }?.let {
            throw RuleViolation("too_early: $task starts before $it is done")
        }
        cloud.workers.firstOrNull { it !== worker && task in it.activeTasks() }?.let {
            throw RuleViolation("ran_twice: $task starts on ${worker.id} while on ${it.id}\n${leaders.history(task)}")
        }
        checkPlace(worker, task, spec)
        checkCancelled(task.job, "starts")
    }

    private fun checkPlace(
        worker: SimWorker,
        task: TaskId,
        spec: JobSpec,
    ) {
        if (worker.spot && !spec.spot) throw RuleViolation("wrong_place: $task on a spot machine")
        if (spec.zone != null && worker.zone != spec.zone) throw RuleViolation("wrong_place: $task in ${worker.zone}")
        val others = cloud.workers.filter { other -> other.activeTasks().any { it.job == task.job && it != task } }
        if (spec.oneZone && others.any { it.zone != worker.zone }) throw RuleViolation("wrong_place: $task apart from its job")
        if (!spec.spread) return
        val inZone = cloud.workers.filter { it.zone == worker.zone }.sumOf { other -> other.activeTasks().count { it.job == task.job } }
        if (inZone > (spec.tasks + 1) / 2) throw RuleViolation("wrong_place: $inZone of ${task.job} in ${worker.zone}")
    }

    /** Checks that garbage collection may delete the record of job [id]. */
    fun checkRecordDeletion(id: String) {
        if (id !in store.finalStates) throw RuleViolation("forgotten: $id: record deleted without a final state")
        cloud.workers.firstOrNull { worker -> worker.activeTasks().any { it.job == id } }?.let {
            throw RuleViolation("swept: $id is still on ${it.id}")
        }
    }

    /** Checks all rules that must hold at any moment. */
    fun check() {
        checkQuotas()
        checkOrphaned()
        cloud.workers.forEach { worker -> worker.activeTasks().forEach { checkCancelled(it.job, "is on ${worker.id}") } }
        checkDone()
    }

    private fun checkQuotas() {
        for (team in Fixtures.settings.teams) {
            if (team.cpusMax <= 0) continue
            val used = cloud.workers.sumOf { cpusOf(team.name, it) }
            if (used > team.cpusMax + ROUNDING) throw RuleViolation("quota: ${team.name} uses $used")
        }
    }

    private fun cpusOf(
        team: String,
        worker: SimWorker,
    ): Double = worker.activeTasks().filter { specs[it.job]?.team == team }.sumOf { specs.getValue(it.job).cpus }

    private fun checkDone() {
        for ((id, phase) in store.finalStates) {
            if (phase != JobPhase.DONE) continue
            val tasks = specs.getValue(id).tasks
            (0 until tasks).firstOrNull { TaskId(id, it) !in completed }?.let { throw RuleViolation("not_done: $id/$it") }
            if (id in store.cancelledAtMs) throw RuleViolation("went_back: $id")
        }
    }

    /** While nobody leads or the store is out nothing can be recorded, so that this time does not count. */
    private fun checkOrphaned() {
        if (leaders.current == null || !store.allowsElection()) withoutLeaderAtMs = context.nowMs
        for (job in store.jobs.values) {
            if (job.cancelled) continue
            val predecessorCancelledAtMs =
                job.spec.predecessors
                    .mapNotNull { store.cancelledAtMs[it] }
                    .minOrNull() ?: continue
            val sinceMs = maxOf(predecessorCancelledAtMs, job.acceptedAtMs, withoutLeaderAtMs)
            if (context.nowMs - sinceMs > cancelLimitMs) throw RuleViolation("orphaned: ${job.spec.id} is not cancelled")
        }
    }

    private fun checkCancelled(
        id: String,
        what: String,
    ) {
        val sinceMs = context.nowMs - (store.cancelledAtMs[id] ?: return)
        if (sinceMs > cancelLimitMs) throw RuleViolation("ran_cancelled: a task of $id $what $sinceMs ms after\n${leaders.history(TaskId(id, 0))}")
    }

    private companion object {
        /** Error of sums of CPUs. */
        const val ROUNDING = 1e-6

        /** Milliseconds within which the tasks of a cancelled job must have ended. */
        val cancelLimitMs = Fixtures.settings.cancelS * 1000
    }
}
