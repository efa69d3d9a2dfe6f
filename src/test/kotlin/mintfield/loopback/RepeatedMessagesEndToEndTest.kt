package mintfield.loopback

import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import kotlin.random.Random

/**
 * Real controllers over loopback while messages that were carried out and answered are delivered once more, and meanwhile tasks fail, are
 * preempted and are cancelled, and a controller is killed and back at once.
 */
class RepeatedMessagesEndToEndTest {
    private val cluster = TestCluster()
    private val services get() = cluster.services
    private val checker by lazy { StartChecker(services) }
    private val random = Random(1)
    private var controllers = emptyList<TestController>()

    @BeforeEach
    fun start() {
        cluster.start(MACHINES, taskMs = 4_000)
        services.capacity = MACHINES
    }

    @AfterEach
    fun stop() = cluster.stop()

    private fun ask(
        method: String,
        path: String,
        body: String? = null,
    ) = controllers.firstNotNullOfOrNull { cluster.ask(it.address, method, path, body) }

    private fun submit(
        id: String,
        team: String,
        priority: String,
    ) {
        checker.submitting(id, team)
        await("$id is accepted") { ask("POST", "/v1/jobs", TestJobs.json(id, TASKS, team = team, priority = priority))?.status in setOf(OK, CREATED) }
    }

    private fun cancel(id: String) {
        await("the cancellation of $id is confirmed") { ask("POST", "/v1/jobs/$id/abort")?.status == OK }
        checker.cancelled(id)
    }

    private fun failTasksOnOneMachine() =
        services.loop.post {
            services.workers
                .random(random)
                .sim.failsTasksUntilMs = services.loop.nowMs() + FAILURES_MS
        }

    /** Users submit and cancel jobs of all priorities for some [STEPS] * [STEP_MS] ms; then the last copies arrive. */
    private fun run() {
        controllers = cluster.startPeers("plot-0", "plot-1", "plot-2")
        for (step in 1..STEPS) {
            submit("wk-%06d".format(step), if (step % 3 == 0) "small" else "floor", PRIORITIES[step % PRIORITIES.size])
            failTasksOnOneMachine()
            if (step % 3 == 1) cancel("wk-%06d".format(step - step / 4))
            if (step % 5 == 0) controllers = controllers.mapIndexed { i, it -> if (i == step / 5 % controllers.size) cluster.restart(it) else it }
            Thread.sleep(STEP_MS)
        }
        Thread.sleep(LAST_COPY_MS)
        assertEquals(emptyList<String>(), checker.violations.toList())
    }

    @Test
    fun `direct commands that arrive again start no task twice, none of a cancelled job and none above a quota`() {
        services.repeatDirectCommandsAfterMs = DELAYS_MS
        run()
        val repeated = services.workers.sumOf { it.repeatedCommands }
        assertTrue(repeated > STEPS, "only $repeated commands arrived again")
    }

    @Test
    fun `transactions that arrive again start no task twice, none of a cancelled job and none above a quota`() {
        cluster.faults.repeatTransactionsAfterMs = DELAYS_MS
        run()
        assertTrue(cluster.faults.repeatedTransactions > STEPS, "only ${cluster.faults.repeatedTransactions} transactions arrived again")
        for (step in 1..STEPS) {
            val id = "wk-%06d".format(step)
            await("$id has ended") { ask("GET", "/v1/jobs/$id")?.json?.string("stage") in setOf("done", "withdrawn") }
        }
    }

    private companion object {
        const val MACHINES = 4
        const val STEPS = 20
        const val STEP_MS = 1_000L
        const val TASKS = 6

        /** Time for which the tasks that start on a machine fail. */
        const val FAILURES_MS = 2_500L

        /** Delays from a fifth of a second to longer than `cancel_s`. */
        val DELAYS_MS = listOf(200L, 4_000L, 50_000L)
        const val LAST_COPY_MS = 52_000L
        val PRIORITIES = listOf("idle", "normal", "high", "production")
        const val OK = 200
        const val CREATED = 201
    }
}
