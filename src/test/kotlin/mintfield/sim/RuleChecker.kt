package mintfield.sim

import mintfield.Fixtures
import mintfield.core.model.ExitReason
import mintfield.core.model.JobPhase
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskId

/** Checks the rules of the protocol against the actual state of the workers and the store; throws [RuleViolation]. */
class RuleChecker(
    private val context: SimulationContext,
    private val leaders: SimulatedLeaders,
    private val store: SimulatedStore,
    private val cloud: SimulatedCloud,
) {
    private val specs = HashMap<String, JobSpec>()
    private val completed = HashSet<TaskId>()
    private var withoutLeaderAtMs = 0L

    /** Number of task starts on workers so far. */
    var starts = 0
        private set

    /** Records that a user has submitted [spec]. */
    fun submitted(spec: JobSpec) {
        specs[spec.id] = spec
    }

    /** Records the tasks that have completed on a worker. */
    fun recordCompletions() {
        for (worker in cloud.workers) {
            if (!worker.alive) continue
            worker.tasks.forEach { (id, task) -> if (task.exitReason == ExitReason.DONE) completed.add(id) }
        }
    }

    /** Counts the start of [task] on [worker] and checks that it is permitted. */
    fun started(
        worker: SimWorker,
        task: TaskId,
    ) {
        starts++
        val spec = specs[task.job] ?: throw RuleViolation("$task started, but its job was never submitted")
        spec.predecessors.firstOrNull { store.finalStates[it] != JobPhase.DONE }?.let {
            throw RuleViolation("too_early: $task starts before job $it is done")
        }
        cloud.workers.firstOrNull { it !== worker && task in it.activeTasks() }?.let {
            throw RuleViolation("ran_twice: $task starts on ${worker.id} while it is active on ${it.id}\n${leaders.logOf(task)}")
        }
        checkPlace(worker, task, spec)
        checkCancelled(task.job, "starts")
    }

    private fun checkPlace(
        worker: SimWorker,
        task: TaskId,
        spec: JobSpec,
    ) {
        if (worker.spot && !spec.spot) throw RuleViolation("wrong_place: $task starts on a spot machine, which its job does not allow")
        if (spec.zone != null && worker.zone != spec.zone) throw RuleViolation("wrong_place: $task starts in ${worker.zone}, not ${spec.zone}")
        val others = cloud.workers.filter { other -> other.activeTasks().any { it.job == task.job && it != task } }
        if (spec.oneZone && others.any { it.zone != worker.zone }) throw RuleViolation("wrong_place: $task starts in another zone than its job")
        if (!spec.spread) return
        val inZone = cloud.workers.filter { it.zone == worker.zone }.sumOf { other -> other.activeTasks().count { it.job == task.job } }
        if (inZone > (spec.tasks + 1) / 2) throw RuleViolation("wrong_place: $inZone tasks of spread job ${task.job} in ${worker.zone}")
    }

    /** Checks that garbage collection may delete the record of job [id]. */
    fun checkRecordDeletion(id: String) {
        if (id !in store.finalStates) throw RuleViolation("forgotten: record of $id deleted before it has a final state")
        cloud.workers.firstOrNull { worker -> worker.activeTasks().any { it.job == id } }?.let {
            throw RuleViolation("deleted_while_running: record of $id deleted while a task is active on ${it.id}")
        }
    }

    /** Checks all rules that must hold at any moment. */
    fun check() {
        checkQuotas()
        checkSuccessorsCancelled()
        cloud.workers.forEach { worker -> worker.activeTasks().forEach { checkCancelled(it.job, "is active on ${worker.id}") } }
        checkDone()
    }

    private fun checkQuotas() {
        for (team in Fixtures.settings.teams) {
            if (team.cpusMax <= 0) continue
            val used = cloud.workers.sumOf { cpusOf(team.name, it) }
            if (used > team.cpusMax + ROUNDING) throw RuleViolation("quota: team ${team.name} uses $used CPUs")
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
            (0 until tasks).firstOrNull { TaskId(id, it) !in completed }?.let { throw RuleViolation("not_done: $id is recorded as done, but $id/$it is not") }
            if (id in store.cancelledAtMs) throw RuleViolation("went_back: $id is done after it was cancelled")
        }
    }

    /**
     * Checks that successors of cancelled jobs are cancelled in time. Time without a leader or without the store does not count,
     * since nothing can be recorded then.
     */
    private fun checkSuccessorsCancelled() {
        if (leaders.current == null || !store.allowsElection()) withoutLeaderAtMs = context.nowMs
        for (job in store.jobs.values) {
            if (job.cancelled) continue
            val predecessorCancelledAtMs =
                job.spec.predecessors
                    .mapNotNull { store.cancelledAtMs[it] }
                    .minOrNull() ?: continue
            val sinceMs = maxOf(predecessorCancelledAtMs, job.acceptedAtMs, withoutLeaderAtMs)
            if (context.nowMs - sinceMs > cancelLimitMs) throw RuleViolation("orphaned: ${job.spec.id} outlives a cancelled predecessor")
        }
    }

    private fun checkCancelled(
        id: String,
        what: String,
    ) {
        val sinceMs = context.nowMs - (store.cancelledAtMs[id] ?: return)
        if (sinceMs > cancelLimitMs) throw RuleViolation("ran_cancelled: a task of $id $what $sinceMs ms after cancellation\n${leaders.logOf(TaskId(id, 0))}")
    }

    private companion object {
        /** Tolerated rounding error in sums of CPUs. */
        const val ROUNDING = 1e-6

        /** Milliseconds within which the tasks of a cancelled job must have ended. */
        val cancelLimitMs = Fixtures.settings.cancelS * 1000
    }
}
