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

/** Consistency of the states that users observe under random faults of the store and the controllers. */
class UserHistoryRandomFaultsTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.services)
    private val tasksOf = ConcurrentHashMap<String, Int>()

    @BeforeEach
    fun start() = cluster.start(machines = 3, taskMs = TASK_MS)

    @AfterEach
    fun stop() = cluster.stop()

    /**
     * Users submit, resubmit, poll and cancel at all controllers, concurrently and in sequence. Meanwhile the store delays or loses
     * responses, applies requests late and refuses one controller or all, and controllers freeze, end and restart. Runs once for each of
     * three seeds; the scheduling of the threads is not determined by the seed.
     */
    @ParameterizedTest
    @ValueSource(longs = [1, 2, 3])
    fun `no user observes a stale state under random faults`(seed: Long) {
        val random = Random(seed)
        var controllers = cluster.startPeers("plot-0", "plot-1", "plot-2")
        cluster.faults.chooseFault = FaultyStore.randomFaults(Random(seed), probability = 0.25)
        val traffic =
            List(USERS) { user ->
                val ownRandom = Random(seed * 1_000 + user)
                thread(name = "user-$user") {
                    repeat(JOBS_PER_USER) { number ->
                        val job = "wk-%06d".format(seed * 1_000 + user * JOBS_PER_USER + number)
                        submitAndCancel(job, runsToEnd = number % 2 == 0, ownRandom) { controllers }
                    }
                }
            }
        repeat(FAULTS) {
            Thread.sleep(random.nextLong(400, 1_200))
            val controller = controllers.random(random)
            when (random.nextInt(3)) {
                0 -> controller.freeze(random.nextLong(200, 3_000))
                1 -> controllers = controllers.map { if (it === controller) cluster.restart(controller) else it }
                else -> refuseRequestsOf(controller, random.nextLong(500, 2_000), seed + it)
            }
        }
        traffic.forEach { it.join() }
        cluster.faults.chooseFault = { _, _ -> null }
        controllers.forEach { cluster.awaitReady(it) }
        for (job in users.history.map { it.job }.distinct()) controllers.forEach { users.poll(it, job).get() }
        assertEquals(emptyList<Violation>(), HistoryChecker(::completedNanos).check(users.history))
        val observations = users.history.filter { it.response is JobResponse.Observed || it.response == JobResponse.Created }
        assertTrue(observations.size > users.history.size / 4, "only ${observations.size} of ${users.history.size} requests observed a state")
        for (phase in listOf(JobPhase.DONE, JobPhase.CANCELLED)) {
            val jobs = observations.filter { it.response == JobResponse.Observed(phase) }.map { it.job }.distinct()
            assertTrue(jobs.size >= MIN_JOBS_PER_FINAL_PHASE, "only ${jobs.size} jobs were observed as $phase")
        }
    }

    /** [System.nanoTime] at which the last task of [job] was observed as completed; null if a task is not completed. */
    private fun completedNanos(job: String): Long? {
        return List(tasksOf.getValue(job)) { cluster.services.completedNanos[TaskId(job, it)] ?: return null }.max()
    }

    private fun refuseRequestsOf(
        controller: TestController,
        forMs: Long,
        seed: Long,
    ) {
        val randomFaults = FaultyStore.randomFaults(Random(seed), probability = 0.25)
        cluster.faults.chooseFault = { client, request -> if (client == controller.member) StoreFault.Refused(503) else randomFaults(client, request) }
        Thread.sleep(forMs)
        cluster.faults.chooseFault = randomFaults
    }

    /** Submits and polls one job repeatedly at random controllers while another user cancels it, either early or after it is done. */
    private fun submitAndCancel(
        job: String,
        runsToEnd: Boolean,
        random: Random,
        controllers: () -> List<TestController>,
    ) {
        // Each further task of a job runs 0.7 s longer than the one before it, so a job with several tasks is cancelled before its end.
        val tasks = if (runsToEnd) 1 else LONG_JOB_TASKS
        tasksOf[job] = tasks
        val sent = ArrayList<CompletableFuture<JobResponse>>()
        val cancelRandom = Random(random.nextLong())
        val canceller =
            thread(name = "${Thread.currentThread().name}-canceller") {
                if (runsToEnd) awaitDone(job, cancelRandom, controllers) else Thread.sleep(cancelRandom.nextLong(1, MAX_CANCELLATION_DELAY_MS))
                cancel(job, cancelRandom, controllers)
            }
        var remaining = REQUESTS_AFTER_CANCELLATION
        while (remaining > 0) {
            if (!canceller.isAlive) remaining--
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

    /** Sends cancellations to random controllers until one responds with the phase of the job. */
    private fun cancel(
        job: String,
        random: Random,
        controllers: () -> List<TestController>,
    ) {
        repeat(MAX_CANCEL_REQUESTS) {
            if (users.cancel(controllers().random(random), job).get() is JobResponse.Observed) return
            Thread.sleep(random.nextLong(1, 30))
        }
    }

    private companion object {
        const val TASK_MS = 300L
        const val LONG_JOB_TASKS = 7
        const val USERS = 6
        const val JOBS_PER_USER = 4

        /** Half of the 24 jobs run to completion; few of the other half do, although a cancellation may have to be repeated for seconds. */
        const val MIN_JOBS_PER_FINAL_PHASE = 3
        const val MAX_CANCELLATION_DELAY_MS = 500L
        const val REQUESTS_AFTER_CANCELLATION = 6
        const val MAX_CANCEL_REQUESTS = 20
        const val FAULTS = 8
    }
}
