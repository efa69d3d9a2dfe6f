package mintfield.standin

import mintfield.core.model.JobPhase
import mintfield.history.Answer
import mintfield.history.HistoryChecker
import mintfield.history.Violation
import mintfield.io.http.HttpMessage
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.atomic.AtomicInteger

/** What users are told by several nodes, judged as one history: no answer is older than its request, and final states stay. */
class UserHistoryTest {
    private val cluster = TestCluster()
    private val users = RecordedUsers(cluster.standIns)
    private val cancelled = Answer.Told(JobPhase.CANCELLED)
    private val done = Answer.Told(JobPhase.DONE)
    private val pending = Answer.Told(JobPhase.PENDING)
    private val unfinished = listOf(pending, Answer.Told(JobPhase.RUNNING))

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun violations(): List<Violation> = HistoryChecker().check(users.history)

    /** Whether a request is the transaction by which a node accepts or cancels [job]. */
    private fun writes(job: String): (HttpMessage) -> Boolean = { it.second == "/txn" && "\"write\":\"mf/j/l/$job\"" in String(it.body) }

    /** Whether a request asks what has changed in the jobs up to now. */
    private fun checksJobs(request: HttpMessage) = request.second.startsWith("/watch?starts=mf/j/") && request.second.endsWith("waitMs=0")

    /** Long enough for a request that was sent to have reached its node. */
    private fun untilItArrived() = Thread.sleep(ARRIVAL_MS)

    /**
     * Submits [job] at [slow], whose next answer of the store is [held] back from then on; [meanwhile] another user cancels it
     * elsewhere; then it is submitted at [slow] once more, and the answer let go. Tells what the last submission was told.
     */
    private fun repeatAcross(
        slow: TestNode,
        job: String,
        held: FaultyStateService.HeldAnswer,
        meanwhile: () -> Unit,
    ): Answer {
        val first = users.submit(slow, job)
        held.awaitCarriedOut()
        meanwhile()
        val repeat = users.submit(slow, job)
        untilItArrived()
        held.release()
        first.get()
        return repeat.get()
    }

    @Test
    fun `a repeated submission is not answered by one under way that was carried out before a cancellation`() {
        // went_back: a node that waited for the store's answer to a submission let a repeat share it, and called a job
        // pending that had been confirmed as cancelled before the repeat was sent.
        val (here, slow) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000301"
        val told =
            repeatAcross(slow, job, cluster.faults.hold(slow.member, writes(job))) {
                assertTrue(users.submit(here, job).get() in unfinished, "the acceptance shows at the other node")
                assertEquals(cancelled, users.abort(here, job).get())
            }
        assertEquals(cancelled, told)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not answered by a reading of the jobs from before a cancellation`() {
        // The same, without a submission that is accepted: the one under way had read the jobs before the cancellation.
        val (here, slow) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000302"
        assertEquals(Answer.Created, users.submit(here, job).get())
        val told = repeatAcross(slow, job, cluster.faults.hold(slow.member, ::checksJobs)) { assertEquals(cancelled, users.abort(here, job).get()) }
        assertEquals(cancelled, told)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a repeated submission is not answered by a reading of the jobs from before their end`() {
        val (here, slow) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000308"
        assertEquals(Answer.Created, users.submit(here, job).get())
        val told =
            repeatAcross(slow, job, cluster.faults.hold(slow.member, ::checksJobs)) {
                cluster.standIns.store.plant("mf/j/f/$job", """{"stage":"done","tasks":1}""")
                assertEquals(done, users.poll(here, job).get())
            }
        assertEquals(done, told)
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a cancellation that is carried out after the job's end does not undo it`() {
        // Guards of the transaction: the job's record at the revision that was read, and no final state.
        val (here, late) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000309"
        val cancels = { request: HttpMessage -> writes(job)(request) && "\"withdrawn\":true" in String(request.body) }
        val carriedOut = AtomicInteger()
        cluster.faults.choose = { client, request ->
            if (client == late.member && cancels(request)) StateFault.CarriedOutLate(LATE_MS).also { carriedOut.incrementAndGet() } else null
        }
        assertEquals(Answer.Created, users.submit(here, job, shape = "sweep").get())
        val cancelled = users.abort(late, job)
        await("it is done") { users.poll(here, job).get() == done }
        assertTrue(cancelled.get() in listOf(Answer.None, done))
        assertTrue(carriedOut.get() > 0, "the cancellation was sent")
        Thread.sleep(LATE_MS)
        for (node in listOf(here, late)) {
            val told = listOf(users.poll(node, job), users.submit(node, job), users.abort(node, job)).map { it.get() }
            assertEquals(listOf(done, done, done), told)
        }
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a node that has learned of a cancellation while a submission was under way tells it`() {
        val (here, slow) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000303"
        val acceptance = cluster.faults.hold(slow.member, writes(job))
        val first = users.submit(slow, job)
        acceptance.awaitCarriedOut()
        assertTrue(users.submit(here, job).get() in unfinished, "the acceptance shows at the other node")
        assertEquals(cancelled, users.abort(here, job).get())
        assertEquals(cancelled, users.poll(slow, job).get())
        acceptance.release()
        assertEquals(cancelled, first.get())
    }

    @Test
    fun `a final state in the store counts before a record of the job that cannot be read`() {
        val node = cluster.startNode("plot-0")
        cluster.standIns.store.plant("mf/j/f/wk-000304", """{"stage":"done","tasks":3}""")
        cluster.standIns.store.plant("mf/j/l/wk-000304", """{"spec":7}""")
        // The watch that brings both keys also fills the cache of final states; a node started later has only the store.
        val later = cluster.startNode("plot-1")
        for (asked in listOf(node, later)) assertEquals(done, users.poll(asked, "wk-000304").get())
    }

    @Test
    fun `a job whose final state cannot be read is known, and neither done nor withdrawn`() {
        cluster.standIns.store.plant("mf/j/f/wk-000305", """{"stage":"over"}""")
        cluster.standIns.store.plant("mf/j/f/wk-000306", "[]")
        val node = cluster.startNode("plot-0")
        cluster.standIns.store.plant("mf/j/f/wk-000307", """{"tasks":1}""")
        for (job in listOf("wk-000305", "wk-000306", "wk-000307")) {
            assertEquals(pending, users.poll(node, job).get())
            assertEquals(pending, users.submit(node, job).get())
            assertEquals(Answer.None, users.abort(node, job).get(), "it cannot be cancelled, nor called so")
        }
    }

    @Test
    fun `a node that stood still goes on with no older answers`() {
        val (here, frozen) = cluster.startSiblings("plot-0", "plot-1")
        for ((index, stillMs) in listOf(300L, 1_200L, 2_500L).withIndex()) {
            val job = "wk-00031$index"
            val acceptance = cluster.faults.hold(frozen.member, writes(job))
            val first = users.submit(frozen, job)
            acceptance.awaitCarriedOut()
            frozen.standStill(stillMs)
            acceptance.release()
            assertTrue(users.submit(here, job).get() in unfinished, "$job is known")
            assertEquals(cancelled, users.abort(here, job).get())
            val repeats = List(3) { users.submit(frozen, job) } + List(3) { users.poll(frozen, job) }
            (repeats + first).forEach { it.get() }
            assertTrue(repeats.all { it.get() == cancelled }, "$job: ${repeats.map { it.get() }}")
        }
        assertEquals(emptyList<Violation>(), violations())
    }

    @Test
    fun `a request that a sibling answers too late is answered by no older state`() {
        val (here, refused) = cluster.startSiblings("plot-0", "plot-1")
        val job = "wk-000320"
        // Refused by the store, a node passes users' requests to its peer; after 0.9 s without an answer it serves them itself.
        cluster.faults.choose = { client, _ -> if (client == refused.member) StateFault.Refused(503) else null }
        val acceptance = cluster.faults.hold(here.member, writes(job))
        await("the sibling takes its requests") { users.submit(refused, job).also { untilItArrived() }.let { acceptance.hasCome } }
        val others = List(3) { users.submit(refused, job) }
        untilItArrived()
        acceptance.release()
        others.forEach { it.get() }
        assertEquals(cancelled, users.abort(here, job).get())
        cluster.faults.choose = { _, _ -> null }
        val after = List(4) { users.submit(refused, job) } + users.poll(refused, job) + users.submit(here, job)
        after.forEach { it.get() }
        assertTrue(after.any { it.get() == cancelled })
        assertEquals(emptyList<Violation>(), violations())
    }

    private companion object {
        const val ARRIVAL_MS = 150L

        /** Longer than a task runs, and than the node waits for an answer. */
        const val LATE_MS = 6_000L
    }
}
