package mintfield.loopback

import mintfield.core.model.JobPhase
import mintfield.history.HistoryChecker
import mintfield.history.JobResponse
import mintfield.history.Violation
import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

/** Responses of several controllers as one history: no response is older than its request, and final states never change. */
class UserHistoryTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.services)
    private val cancelled = JobResponse.Observed(JobPhase.CANCELLED)
    private val done = JobResponse.Observed(JobPhase.DONE)
    private val pending = JobResponse.Observed(JobPhase.PENDING)
    private val unfinished = listOf(pending, JobResponse.Observed(JobPhase.RUNNING))

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun violations(): List<Violation> = HistoryChecker().check(users.history)

    /** Matches the transactions by which a controller accepts or cancels [job]. */
    private fun writes(job: String): (HttpMessage) -> Boolean = { it.path == "/txn" && "\"write\":\"mf/j/l/$job\"" in String(it.body) }

    /** Whether [request] reads the changes of jobs up to the present, without waiting for more. */
    private fun readsJobChanges(request: HttpMessage) = request.path.startsWith("/watch?starts=mf/j/") && request.path.endsWith("waitMs=0")

    /** Waits until a request that was sent before has reached its controller. */
    private fun awaitArrival() = Thread.sleep(ARRIVAL_MS)

    /**
     * Submits [job] at [slow] and waits until the store has applied the request whose response is [held]. Then runs [meanwhile],
     * submits [job] at [slow] again and releases the response. Returns the outcome of the second submission.
     */
    private fun resubmitWhileHeld(
        slow: TestController,
        job: String,
        held: HeldResponse,
        meanwhile: () -> Unit,
    ): JobResponse {
        val first = users.submit(slow, job)
        held.awaitApplied()
        meanwhile()
        val repeat = users.submit(slow, job)
        awaitArrival()
        held.release()
        first.get()
        return repeat.get()
    }

    @Test
    fun `a repeated submission does not share the response to a submission applied before a cancellation`() {
        // If the repeated submission shared the store response that the first one awaits, it would observe a pending job after the
        // cancellation had been confirmed to the user.
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000301"
        val response =
            resubmitWhileHeld(slow, job, cluster.faults.hold(slow.member, writes(job))) {
                assertTrue(users.submit(here, job).get() in unfinished, "the job accepted by plot-1 is observed at plot-0")
                assertEquals(cancelled, users.cancel(here, job).get())
            }
        assertEquals(cancelled, response)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not served from a read of the jobs applied before a cancellation`() {
        // The job is already accepted, so the first submission at plot-1 writes nothing and awaits a read of the jobs that the store applies
        // before the cancellation.
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000302"
        assertEquals(JobResponse.Created, users.submit(here, job).get())
        val response =
            resubmitWhileHeld(slow, job, cluster.faults.hold(slow.member, ::readsJobChanges)) { assertEquals(cancelled, users.cancel(here, job).get()) }
        assertEquals(cancelled, response)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not served from a read of the jobs applied before the job ended`() {
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000308"
        assertEquals(JobResponse.Created, users.submit(here, job).get())
        val response =
            resubmitWhileHeld(slow, job, cluster.faults.hold(slow.member, ::readsJobChanges)) {
                cluster.services.store.forcePut("mf/j/f/$job", """{"stage":"done","tasks":1}""")
                assertEquals(done, users.poll(here, job).get())
            }
        assertEquals(done, response)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a cancellation applied after the job ended does not change its final state`() {
        // The preconditions of the transaction prevent it: the job's record at the revision that was read, and no final state.
        val (here, late) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000309"
        val isCancellation = { request: HttpMessage -> writes(job)(request) && "\"withdrawn\":true" in String(request.body) }
        val sent = AtomicInteger()
        cluster.faults.chooseFault = { client, request ->
            if (client == late.member && isCancellation(request)) StoreFault.AppliedLate(LATE_MS).also { sent.incrementAndGet() } else null
        }
        assertEquals(JobResponse.Created, users.submit(here, job, shape = "sweep").get())
        val cancelled = users.cancel(late, job)
        await("$job is done") { users.poll(here, job).get() == done }
        assertTrue(cancelled.get() in listOf(JobResponse.Indeterminate, done))
        assertTrue(sent.get() > 0, "no cancellation was sent to the store")
        Thread.sleep(LATE_MS)
        for (controller in listOf(here, late)) {
            val responses = listOf(users.poll(controller, job), users.submit(controller, job), users.cancel(controller, job)).map { it.get() }
            assertEquals(listOf(done, done, done), responses)
        }
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a submission that awaits the store responds with a cancellation observed meanwhile`() {
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000303"
        val acceptance = cluster.faults.hold(slow.member, writes(job))
        val first = users.submit(slow, job)
        acceptance.awaitApplied()
        assertTrue(users.submit(here, job).get() in unfinished, "the job accepted by plot-1 is observed at plot-0")
        assertEquals(cancelled, users.cancel(here, job).get())
        assertEquals(cancelled, users.poll(slow, job).get())
        acceptance.release()
        assertEquals(cancelled, first.get())
    }

    @Test
    fun `a final state takes precedence over an unreadable record of the job`() {
        val controller = cluster.startController("plot-0")
        cluster.services.store.forcePut("mf/j/f/wk-000304", """{"stage":"done","tasks":3}""")
        cluster.services.store.forcePut("mf/j/l/wk-000304", """{"spec":7}""")
        // The watch that delivers both keys also fills the cache of final states; a controller started later has to read the store.
        val later = cluster.startController("plot-1")
        for (polled in listOf(controller, later)) assertEquals(done, users.poll(polled, "wk-000304").get())
    }

    @Test
    fun `a job whose final state is unreadable is known, and neither done nor cancelled`() {
        cluster.services.store.forcePut("mf/j/f/wk-000305", """{"stage":"over"}""")
        cluster.services.store.forcePut("mf/j/f/wk-000306", "[]")
        val controller = cluster.startController("plot-0")
        cluster.services.store.forcePut("mf/j/f/wk-000307", """{"tasks":1}""")
        for (job in listOf("wk-000305", "wk-000306", "wk-000307")) {
            assertEquals(pending, users.poll(controller, job).get())
            assertEquals(pending, users.submit(controller, job).get())
            assertEquals(JobResponse.Indeterminate, users.cancel(controller, job).get(), "$job must be neither cancelled nor reported as cancelled")
        }
    }

    @Test
    fun `a controller that was frozen does not respond with a stale state`() {
        val (here, frozen) = cluster.startPeers("plot-0", "plot-1")
        for ((index, freezeMs) in listOf(300L, 1_200L, 2_500L).withIndex()) {
            val job = "wk-00031$index"
            val acceptance = cluster.faults.hold(frozen.member, writes(job))
            val first = users.submit(frozen, job)
            acceptance.awaitApplied()
            frozen.freeze(freezeMs)
            acceptance.release()
            assertTrue(users.submit(here, job).get() in unfinished, "$job is known")
            assertEquals(cancelled, users.cancel(here, job).get())
            val repeats = List(3) { users.submit(frozen, job) } + List(3) { users.poll(frozen, job) }
            (repeats + first).forEach { it.get() }
            assertTrue(repeats.all { it.get() == cancelled }, "$job: ${repeats.map { it.get() }}")
        }
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a relayed request whose peer responds too late does not return a stale state`() {
        val (here, refused) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000320"
        // A controller that the store refuses relays users' requests to its peer; after 0.9 s without a response it serves them itself.
        cluster.faults.chooseFault = { client, _ -> if (client == refused.member) StoreFault.Refused(503) else null }
        val acceptance = cluster.faults.hold(here.member, writes(job))
        await("plot-1 relays its requests to plot-0") { users.submit(refused, job).also { awaitArrival() }.let { acceptance.isApplied } }
        val others = List(3) { users.submit(refused, job) }
        awaitArrival()
        acceptance.release()
        others.forEach { it.get() }
        assertEquals(cancelled, users.cancel(here, job).get())
        cluster.faults.chooseFault = { _, _ -> null }
        val after = List(4) { users.submit(refused, job) } + users.poll(refused, job) + users.submit(here, job)
        after.forEach { it.get() }
        assertTrue(after.any { it.get() == cancelled })
        assertEquals(emptyList<Violation>(), violations())
    }

    private companion object {
        const val ARRIVAL_MS = 150L

        /** Longer than the run time of a task and the time that a controller waits for a response. */
        const val LATE_MS = 6_000L
    }
}
