package mintfield.loopback

import mintfield.Fixtures
import mintfield.core.model.TaskId
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Checks each task start of the workers of [services] against the rules of the protocol. All tasks use one CPU. */
class StartChecker(
    private val services: LoopbackServices,
) {
    private val cancelledAtMs = ConcurrentHashMap<String, Long>()
    private val teams = ConcurrentHashMap<String, String>()

    /** The violations found so far, each with the name of the rule. */
    val violations = ConcurrentLinkedQueue<String>()

    init {
        services.onStart = ::started
    }

    /** Records that job [id] of [team] is about to be submitted. */
    fun submitting(
        id: String,
        team: String,
    ) {
        teams[id] = team
    }

    /** Records that a user was told that job [id] is cancelled. */
    fun cancelled(id: String) {
        cancelledAtMs[id] = services.loop.nowMs()
    }

    private fun started(
        worker: LoopbackWorker,
        task: TaskId,
    ) {
        val other = services.workers.firstOrNull { it !== worker && task in it.sim.activeTasks() }
        if (other != null) violations.add("ran_twice: $task starts on ${worker.sim.id} while it is on ${other.sim.id}")
        val sinceMs = cancelledAtMs[task.job]?.let { services.loop.nowMs() - it } ?: 0
        if (sinceMs > START_IN_FLIGHT_MS) violations.add("ran_cancelled: $task starts on ${worker.sim.id} $sinceMs ms after its cancellation")
        val team = Fixtures.settings.teams.first { it.name == teams[task.job] }
        val used = services.workers.sumOf { each -> each.sim.activeTasks().count { teams[it.job] == team.name } }
        if (team.cpusMax > 0 && used > team.cpusMax) violations.add("quota: team ${team.name} uses $used CPUs when $task starts")
    }

    private companion object {
        /** Longest time that a start which was sent before the cancellation may take to its worker. */
        const val START_IN_FLIGHT_MS = 2_000L
    }
}
