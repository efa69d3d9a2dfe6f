package mintfield.loopback

import mintfield.core.model.JobPhase
import mintfield.core.model.TaskId
import mintfield.history.HistoryChecker
import mintfield.history.JobResponse
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

/** The history of users under random faults of the store and the controllers. */
class UserHistoryMixTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.services)
    private val tasksOf = ConcurrentHashMap<String, Int>()

    @BeforeEach
    fun start() = cluster.start(machines = 3, taskMs = TASK_MS)

    @AfterEach
    fun stop() = cluster.stop()

    /**
     * A random mix: users that submit, repeat, poll and cancel at all controllers at once and after one another, while the
     * store is slow, silent, late, refuses one controller or all, and controllers freeze, end and restart.
     * Three seeds, one run each; the threads' order is not part of the seed.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `no user observes a stale state under random faults`(seed: Long) {
        val random = Random(seed)
        var controllers = cluster.startPeers("plot-0", "plot-1", "plot-2")
        cluster.faults.choose = FaultyStore.mix(Random(seed), probability = 0.25)
        val traffic =
            List(USERS) { user ->
                val ownRandom = Random(seed * 1_000 + user)
                thread(name = "user-$user") {
                    repeat(JOBS_EACH) { number ->
                        val job = "wk-%06d".format(seed * 1_000 + user * JOBS_EACH + number)
                        submitAndCancel(job, runsToEnd = number % 2 == 0, ownRandom) { controllers }
                    }
                }
            }
        repeat(FAULTS) {
            Thread.sleep(random.nextLong(400, 1_200))
            val victim = controllers.random(random)
            when (random.nextInt(3)) {
                0 -> victim.freeze(random.nextLong(200, 3_000))
                1 -> controllers = controllers.map { if (it === victim) cluster.restart(victim) else it }
                else -> refuse(victim, random.nextLong(500, 2_000), seed + it)
            }
        }
        traffic.forEach { it.join() }
        cluster.faults.choose = { _, _ -> null }
        controllers.forEach { cluster.awaitReady(it) }
        for (job in users.history.map { it.job }.distinct()) controllers.forEach { users.poll(it, job).get() }
        assertEquals(emptyList<Violation>(), HistoryChecker(::completedNanos).check(users.history))
        val informed = users.history.filter { it.response is JobResponse.Observed || it.response == JobResponse.Created }
        assertTrue(informed.size > users.history.size / 4, "only ${informed.size} of ${users.history.size} requests observed a state")
        for (phase in listOf(JobPhase.DONE, JobPhase.CANCELLED)) {
            val jobs = informed.filter { it.response == JobResponse.Observed(phase) }.map { it.job }.distinct()
            assertTrue(jobs.size >= MIN_OF_EACH_END, "only ${jobs.size} jobs were observed as $phase")
        }
    }

    /** When the last task of [job] was seen completed; null while one is not. */
    private fun completedNanos(job: String): Long? {
        return List(tasksOf.getValue(job)) { cluster.services.completedNanos[TaskId(job, it)] ?: return null }.max()
    }

    private fun refuse(
        victim: TestController,
        forMs: Long,
        seed: Long,
    ) {
        val before = FaultyStore.mix(Random(seed), probability = 0.25)
        cluster.faults.choose = { client, request -> if (client == victim.member) StoreFault.Refused(503) else before(client, request) }
        Thread.sleep(forMs)
        cluster.faults.choose = before
    }

    /** The life of one job: it is submitted again and again, at any controller, while another user cancels it, early or once it is done. */
    private fun submitAndCancel(
        job: String,
        runsToEnd: Boolean,
        random: Random,
        controllers: () -> List<TestController>,
    ) {
        // Each further task of a job runs for 0.7 s longer, so that one of several is cancelled before its end.
        val tasks = if (runsToEnd) 1 else LONG_JOB_TASKS
        tasksOf[job] = tasks
        val sent = ArrayList<CompletableFuture<JobResponse>>()
        val cancelRandom = Random(random.nextLong())
        val canceller =
            thread(name = "${Thread.currentThread().name}-cancels") {
                if (runsToEnd) awaitDone(job, cancelRandom, controllers) else Thread.sleep(cancelRandom.nextLong(1, MAX_BEFORE_CANCELLATION_MS))
                cancel(job, cancelRandom, controllers)
            }
        var left = REPEATS_AFTER
        while (left > 0) {
            if (!canceller.isAlive) left--
            sent +=
                if (random.nextInt(4) == 0) users.poll(controllers().random(random), job) else users.submit(controllers().random(random), job, tasks, "sweep")
            Thread.sleep(random.nextLong(1, 40))
        }
        sent.forEach { it.get() }
    }

    private fun awaitDone(
        job: String,
        random: Random,
        controllers: () -> List<TestController>,
    ) = await("$job is done") { users.poll(controllers().random(random), job).get() == JobResponse.Observed(JobPhase.DONE) }

    /** Sends cancellations to controllers drawn at random until one answers with the phase of the job. */
    private fun cancel(
        job: String,
        random: Random,
        controllers: () -> List<TestController>,
    ) {
        repeat(CANCEL_TRIES) {
            if (users.cancel(controllers().random(random), job).get() is JobResponse.Observed) return
            Thread.sleep(random.nextLong(1, 30))
        }
    }

    private companion object {
        const val TASK_MS = 300L
        const val LONG_JOB_TASKS = 7
        const val USERS = 6
        const val JOBS_EACH = 4

        /** Half of the 24 jobs run to their end; hardly any of the others does, though a cancellation may have to be repeated for seconds. */
        const val MIN_OF_EACH_END = 3
        const val MAX_BEFORE_CANCELLATION_MS = 500L
        const val REPEATS_AFTER = 6
        const val CANCEL_TRIES = 20
        const val FAULTS = 8
    }
}
