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

/** Answers of several controllers as one history: no answer is older than its request, and final states stay. */
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

    /** Whether a request is the transaction by which a controller accepts or cancels [job]. */
    private fun writes(job: String): (HttpMessage) -> Boolean = { it.path == "/txn" && "\"write\":\"mf/j/l/$job\"" in String(it.body) }

    /** Whether a request reads the changes of the jobs up to now. */
    private fun checksJobs(request: HttpMessage) = request.path.startsWith("/watch?starts=mf/j/") && request.path.endsWith("waitMs=0")

    /** Long enough for a request that was sent to have reached its controller. */
    private fun awaitArrival() = Thread.sleep(ARRIVAL_MS)

    /**
     * Submits [job] at [slow], whose next answer of the store is [held] back from then on; [meanwhile] another user cancels it
     * elsewhere; then it is submitted at [slow] once more, and the answer let go. Returns the answer to the last submission.
     */
    private fun repeatAcross(
        slow: TestController,
        job: String,
        held: HeldAnswer,
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
    fun `a repeated submission does not share the answer of one applied before a cancellation`() {
        // If the repeat shared the answer that the first submission awaits from the store, it would observe a pending job after
        // the cancellation had been confirmed.
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000301"
        val answer =
            repeatAcross(slow, job, cluster.faults.hold(slow.member, writes(job))) {
                assertTrue(users.submit(here, job).get() in unfinished, "the acceptance is observed at the other controller")
                assertEquals(cancelled, users.cancel(here, job).get())
            }
        assertEquals(cancelled, answer)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not answered from a read of the jobs before a cancellation`() {
        // The first submission accepts nothing here: it awaits a read of the jobs that was applied before the cancellation.
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000302"
        assertEquals(JobResponse.Created, users.submit(here, job).get())
        val answer = repeatAcross(slow, job, cluster.faults.hold(slow.member, ::checksJobs)) { assertEquals(cancelled, users.cancel(here, job).get()) }
        assertEquals(cancelled, answer)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not answered from a read of the jobs before their end`() {
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000308"
        assertEquals(JobResponse.Created, users.submit(here, job).get())
        val answer =
            repeatAcross(slow, job, cluster.faults.hold(slow.member, ::checksJobs)) {
                cluster.services.store.forcePut("mf/j/f/$job", """{"stage":"done","tasks":1}""")
                assertEquals(done, users.poll(here, job).get())
            }
        assertEquals(done, answer)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a cancellation applied after the job's end does not undo it`() {
        // Preconditions of the transaction: the job's record at the revision that was read, and no final state.
        val (here, late) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000309"
        val cancels = { request: HttpMessage -> writes(job)(request) && "\"withdrawn\":true" in String(request.body) }
        val sent = AtomicInteger()
        cluster.faults.choose = { client, request ->
            if (client == late.member && cancels(request)) StoreFault.AppliedLate(LATE_MS).also { sent.incrementAndGet() } else null
        }
        assertEquals(JobResponse.Created, users.submit(here, job, shape = "sweep").get())
        val cancelled = users.cancel(late, job)
        await("it is done") { users.poll(here, job).get() == done }
        assertTrue(cancelled.get() in listOf(JobResponse.Indeterminate, done))
        assertTrue(sent.get() > 0, "the cancellation was sent")
        Thread.sleep(LATE_MS)
        for (controller in listOf(here, late)) {
            val answers = listOf(users.poll(controller, job), users.submit(controller, job), users.cancel(controller, job)).map { it.get() }
            assertEquals(listOf(done, done, done), answers)
        }
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a cancellation learned while a submission awaits the store is the answer to that submission`() {
        val (here, slow) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000303"
        val acceptance = cluster.faults.hold(slow.member, writes(job))
        val first = users.submit(slow, job)
        acceptance.awaitApplied()
        assertTrue(users.submit(here, job).get() in unfinished, "the acceptance is observed at the other controller")
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
        // The watch that brings both keys also fills the cache of final states; a controller started later has only the store.
        val later = cluster.startController("plot-1")
        for (asked in listOf(controller, later)) assertEquals(done, users.poll(asked, "wk-000304").get())
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
            assertEquals(JobResponse.Indeterminate, users.cancel(controller, job).get(), "it cannot be cancelled, nor reported so")
        }
    }

    @Test
    fun `a controller that was frozen answers with no stale state`() {
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
    fun `a request that a peer answers too late is answered with no stale state`() {
        val (here, refused) = cluster.startPeers("plot-0", "plot-1")
        val job = "wk-000320"
        // Refused by the store, a controller relays users' requests to its peer; after 0.9 s without an answer it serves them itself.
        cluster.faults.choose = { client, _ -> if (client == refused.member) StoreFault.Refused(503) else null }
        val acceptance = cluster.faults.hold(here.member, writes(job))
        await("the peer gets its requests") { users.submit(refused, job).also { awaitArrival() }.let { acceptance.isApplied } }
        val others = List(3) { users.submit(refused, job) }
        awaitArrival()
        acceptance.release()
        others.forEach { it.get() }
        assertEquals(cancelled, users.cancel(here, job).get())
        cluster.faults.choose = { _, _ -> null }
        val after = List(4) { users.submit(refused, job) } + users.poll(refused, job) + users.submit(here, job)
        after.forEach { it.get() }
        assertTrue(after.any { it.get() == cancelled })
        assertEquals(emptyList<Violation>(), violations())
    }

    private companion object {
        const val ARRIVAL_MS = 150L

        /** Longer than a task runs, and than the controller waits for an answer. */
        const val LATE_MS = 6_000L
    }
}
