package mintfield.standin

import mintfield.core.model.JobPhase
import mintfield.core.model.TaskId
import mintfield.history.Answer
import mintfield.history.HistoryChecker
import mintfield.history.Violation
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.ValueSource
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import kotlin.concurrent.thread
import kotlin.random.Random

/** The history of users while troubles meet at random. */
class UserHistoryMixTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.standIns)
    private val tasksOf = ConcurrentHashMap<String, Int>()

    @BeforeEach
    fun start() = cluster.start(machines = 3, taskMs = TASK_MS)

    @AfterEach
    fun stop() = cluster.stop()

    /**
     * A random mix: users that submit, repeat, ask and abort at all nodes at once and after one another, while the store
     * is slow, silent, late, refuses one node or all, and nodes stand still, end and come back. Three seeds, one run each; the threads' order is not part of the seed.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `whatever troubles meet, no user gets an older answer`(seed: Long) {
        val random = Random(seed)
        var nodes = cluster.startSiblings("plot-0", "plot-1", "plot-2")
        cluster.faults.choose = FaultyStateService.mix(Random(seed), shard = 0.25)
        val traffic =
            List(USERS) { user ->
                val ownRandom = Random(seed * 1_000 + user)
                thread(name = "user-$user") {
                    repeat(JOBS_EACH) { useJob("wk-%06d".format(seed * 1_000 + user * JOBS_EACH + it), toItsEnd = it % 2 == 0, ownRandom) { nodes } }
                }
            }
        repeat(TROUBLES) {
            Thread.sleep(random.nextLong(400, 1_200))
            val victim = nodes.random(random)
            when (random.nextInt(3)) {
                0 -> victim.standStill(random.nextLong(200, 3_000))
                1 -> nodes = nodes.map { if (it === victim) cluster.restart(victim) else it }
                else -> refuse(victim, random.nextLong(500, 2_000), seed + it)
            }
        }
        traffic.forEach { it.join() }
        cluster.faults.choose = { _, _ -> null }
        nodes.forEach { cluster.awaitReady(it) }
        for (job in users.history.map { it.job }.distinct()) nodes.forEach { users.poll(it, job).get() }
        assertEquals(emptyList<Violation>(), HistoryChecker(::completedNanos).check(users.history))
        val told = users.history.filter { it.answer is Answer.Told || it.answer == Answer.Created }
        assertTrue(told.size > users.history.size / 4, "only ${told.size} of ${users.history.size} requests were told a state")
        for (stage in listOf(JobPhase.DONE, JobPhase.CANCELLED)) {
            val jobs = told.filter { it.answer == Answer.Told(stage) }.map { it.job }.distinct()
            assertTrue(jobs.size >= LEAST_OF_EACH_END, "only ${jobs.size} jobs were told to be $stage")
        }
    }

    /** When the last task of [job] was seen completed; null while one is not. */
    private fun completedNanos(job: String): Long? {
        return List(tasksOf.getValue(job)) { cluster.standIns.completedNanos[TaskId(job, it)] ?: return null }.max()
    }

    private fun refuse(
        victim: TestNode,
        forMs: Long,
        seed: Long,
    ) {
        val before = FaultyStateService.mix(Random(seed), shard = 0.25)
        cluster.faults.choose = { client, request -> if (client == victim.member) StateFault.Refused(503) else before(client, request) }
        Thread.sleep(forMs)
        cluster.faults.choose = before
    }

    /** The life of one job: it is submitted again and again, at any node, while another user cancels it, early or once it is done. */
    private fun useJob(
        job: String,
        toItsEnd: Boolean,
        random: Random,
        nodes: () -> List<TestNode>,
    ) {
        // Each further task of a job runs for 0.7 s longer, so that one of several is cancelled before its end.
        val tasks = if (toItsEnd) 1 else LONG_JOB_TASKS
        tasksOf[job] = tasks
        val sent = ArrayList<CompletableFuture<Answer>>()
        val cancelRandom = Random(random.nextLong())
        val canceller =
            thread(name = "${Thread.currentThread().name}-cancels") {
                if (toItsEnd) awaitDone(job, cancelRandom, nodes) else Thread.sleep(cancelRandom.nextLong(1, MOST_BEFORE_CANCELLATION_MS))
                cancel(job, cancelRandom, nodes)
            }
        var left = REPEATS_AFTER
        while (left > 0) {
            if (!canceller.isAlive) left--
            sent += if (random.nextInt(4) == 0) users.poll(nodes().random(random), job) else users.submit(nodes().random(random), job, tasks, "sweep")
            Thread.sleep(random.nextLong(1, 40))
        }
        sent.forEach { it.get() }
    }

    private fun awaitDone(
        job: String,
        random: Random,
        nodes: () -> List<TestNode>,
    ) = await("$job is done") { users.poll(nodes().random(random), job).get() == Answer.Told(JobPhase.DONE) }

    /** Asks one node after the other until one says how the job has ended. */
    private fun cancel(
        job: String,
        random: Random,
        nodes: () -> List<TestNode>,
    ) {
        repeat(CANCEL_TRIES) {
            if (users.abort(nodes().random(random), job).get() is Answer.Told) return
            Thread.sleep(random.nextLong(1, 30))
        }
    }

    private companion object {
        const val TASK_MS = 300L
        const val LONG_JOB_TASKS = 7
        const val USERS = 6
        const val JOBS_EACH = 4

        /** Half of the 24 jobs run to their end; hardly any of the others does, though a cancellation may have to be repeated for seconds. */
        const val LEAST_OF_EACH_END = 3
        const val MOST_BEFORE_CANCELLATION_MS = 500L
        const val REPEATS_AFTER = 6
        const val CANCEL_TRIES = 20
        const val TROUBLES = 8
    }
}
