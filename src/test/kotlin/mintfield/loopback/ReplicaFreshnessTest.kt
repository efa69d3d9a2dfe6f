package mintfield.loopback

import mintfield.io.http.HttpResult
import mintfield.io.http.parseAddress
import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.util.concurrent.CompletableFuture
import java.util.concurrent.atomic.AtomicBoolean

/** Responses that controllers derive from their replicas of the jobs, after another controller has confirmed a newer state. */
class ReplicaFreshnessTest {
    private val cluster = TestCluster()
    private lateinit var controllers: List<TestController>

    @BeforeEach
    fun start() {
        cluster.start(machines = 3)
        controllers = cluster.startPeers("plot-0", "plot-1", "plot-2")
        submit(controllers[0], "wk-0").get()
        for (controller in controllers) await("${controller.member} accepts dependent jobs") { submit(controller, "wk-00", "wk-0").get() != null }
    }

    @AfterEach
    fun stop() = cluster.stop()

    private fun send(
        controller: TestController,
        method: String,
        path: String,
        body: String? = null,
    ): CompletableFuture<String?> =
        cluster.services.client
            .send(controller.address, method, path, body)
            .thenApply { (it as? HttpResult.Received)?.json?.string("stage") }

    private fun submit(
        controller: TestController,
        id: String,
        vararg predecessors: String,
    ) = send(controller, "POST", "/v1/jobs", TestJobs.json(id, 2, predecessors = predecessors.toList()))

    private fun poll(
        controller: TestController,
        id: String,
    ) = send(controller, "GET", "/v1/jobs/$id")

    private fun cancel(
        controller: TestController,
        id: String,
    ) = send(controller, "POST", "/v1/jobs/$id/abort")

    /** Runs [check] for each controller, with another controller and a prefix for job ids. One of the controllers leads; the others' replicas lag. */
    private fun forEachController(check: (TestController, TestController, String) -> Unit) =
        controllers.forEachIndexed { i, controller -> check(controller, controllers[(i + 1) % controllers.size], "wk-${i + 1}") }

    /** Brings the replica of [controller] to a state in which [id] is unfinished. */
    private fun observeUnfinished(
        controller: TestController,
        id: String,
    ) = await("$id is unfinished at ${controller.member}") { poll(controller, id).get() in UNFINISHED }

    private fun assertPhase(
        expected: String,
        responses: Map<String, CompletableFuture<String?>>,
    ) = assertEquals(responses.mapValues { expected }, responses.mapValues { it.value.get() })

    /** The responses of [controller] to each request that concerns the ended job [id], and to submissions of the job after it. */
    private fun repeats(
        controller: TestController,
        id: String,
    ) = mapOf("poll" to poll(controller, id), "submission" to submit(controller, id), "abort" to cancel(controller, id))

    @Test
    fun `a submission that names a job cancelled at another controller is not answered from an older replica`() =
        forEachController { stale, other, job ->
            submit(other, "${job}1").get()
            observeUnfinished(stale, "${job}1")
            assertEquals("withdrawn", cancel(other, "${job}1").get())
            assertEquals("withdrawn", submit(stale, "${job}2", "${job}1").get(), "at ${stale.member}")
        }

    @Test
    fun `a batch of submissions that name a job cancelled at another controller is not answered from an older replica`() =
        forEachController { stale, other, job ->
            submit(other, "${job}1").get()
            observeUnfinished(stale, "${job}1")
            assertEquals("withdrawn", cancel(other, "${job}1").get())
            assertPhase("withdrawn", (2..9).map { "$job$it" }.associateWith { submit(stale, it, "${job}1") })
        }

    @Test
    fun `a submission that names a job cancelled through another one is not answered from an older replica`() =
        forEachController { stale, other, job ->
            submit(other, "${job}1").get()
            submit(other, "${job}2", "${job}1").get()
            observeUnfinished(stale, "${job}2")
            assertEquals("withdrawn", cancel(other, "${job}1").get())
            assertEquals("withdrawn", submit(stale, "${job}3", "${job}2").get(), "at ${stale.member}")
            assertPhase("withdrawn", repeats(stale, "${job}2") + repeats(stale, "${job}3"))
        }

    @Test
    fun `a submission that names a job cancelled through one whose end is unread is not answered as pending`() {
        submit(controllers[0], "wk-1").get()
        submit(controllers[0], "wk-2", "wk-1").get()
        controllers.forEach { it.stop() }
        recordCancelled("wk-1")
        val readable = AtomicBoolean(false)
        cluster.faults.chooseFault = { _, request ->
            val recordsEnd = request.path == "/txn" && "mf/j/f/wk-2" in String(request.body)
            val readsEnd = request.path == "/store/mf/j/f/wk-1" && !readable.get()
            if (recordsEnd || readsEnd) StoreFault.Refused(UNAVAILABLE) else null
        }
        val restarted = cluster.restart(controllers[2]).also(cluster::awaitReady)
        assertEquals(null, submit(restarted, "wk-3", "wk-2").get())
        readable.set(true)
        await("wk-3 is accepted") { submit(restarted, "wk-3", "wk-2").get() != null }
        assertPhase("withdrawn", repeats(restarted, "wk-2") + repeats(restarted, "wk-3"))
    }

    /** Records in the store that job [id] is cancelled, as a controller does that deletes its record afterwards. */
    private fun recordCancelled(id: String) {
        val writes = """[{"write":"mf/j/f/$id","data":{"stage":"withdrawn","tasks":0}},{"delete":"mf/j/l/$id"}]"""
        val store = requireNotNull(parseAddress(controllers[0].settings.stateAddress))
        assertEquals(OK, (cluster.services.client.call(store, "POST", "/txn", """{"guards":[],"writes":$writes}""") as HttpResult.Received).status)
    }

    @Test
    fun `responses to each request about a job cancelled at another controller are not older than the request`() =
        forEachController { stale, other, job ->
            submit(other, "${job}1").get()
            observeUnfinished(stale, "${job}1")
            assertEquals("withdrawn", cancel(other, "${job}1").get())
            assertPhase("withdrawn", repeats(stale, "${job}1"))
        }

    @Test
    fun `responses to each request about a job done at another controller are not older than the request`() =
        forEachController { stale, other, job ->
            submit(other, "${job}1").get()
            observeUnfinished(stale, "${job}1")
            await("${job}1 is done") { poll(other, "${job}1").get() == "done" }
            assertPhase("done", repeats(stale, "${job}1"))
            assertEquals("pending", submit(stale, "${job}2", "${job}1").get())
        }

    private companion object {
        const val OK = 200
        const val UNAVAILABLE = 503
        val UNFINISHED = setOf("pending", "running")
    }
}
