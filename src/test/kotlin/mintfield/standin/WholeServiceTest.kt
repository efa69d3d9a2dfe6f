package mintfield.standin

import mintfield.io.http.Reply
import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress

/** Whole nodes over loopback against stand-ins: what a user sees, from submission to the end. */
class WholeServiceTest {
    private val cluster = TestCluster()
    private val standIns get() = cluster.standIns
    private val nodes get() = cluster.nodes

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun node(
        member: String,
        wait: Boolean = true,
    ): InetSocketAddress = cluster.startNode(member, wait).address

    private fun ask(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): Reply.Answer? = cluster.ask(node, method, path, body)

    private fun stage(
        node: InetSocketAddress,
        id: String,
    ) = ask(node, "GET", "/v1/jobs/$id")?.takeIf { it.status == 200 }?.json?.string("stage")

    @Test
    fun `an array runs to its end, once each, and stays known`() {
        val a = node("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", 20))!!.status)
        assertEquals(200, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", 20))!!.status)
        await("the job is done") { stage(a, "wk-000001") == "done" }
        val started = standIns.workers.flatMap { it.started }
        assertEquals(20, started.size)
        assertEquals(20, started.toSet().size)
        val again = ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", -5))!!
        assertEquals(200, again.status)
        assertEquals("done", again.json.string("stage"))
        assertEquals("done", ask(a, "POST", "/v1/jobs/wk-000001/abort")!!.json.string("stage"))
    }

    @Test
    fun `a cancelled service goes and stays withdrawn`() {
        val a = node("plot-0")
        ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000002", 2, shape = "standing"))
        await("both replicas run") { standIns.workers.sumOf { it.present.size } == 2 }
        assertEquals("withdrawn", ask(a, "POST", "/v1/jobs/wk-000002/abort")!!.json.string("stage"))
        await("both replicas are gone") { standIns.workers.sumOf { it.present.size } == 0 }
        assertEquals("withdrawn", stage(a, "wk-000002"))
    }

    @Test
    fun `a successor finishes what was begun, without starting anything again`() {
        val a = node("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000003", 24))!!.status)
        await("half of it has started") { standIns.workers.sumOf { it.started.size } >= 12 }
        val b = node("plot-1")
        nodes.first().stop()
        standIns.nodes = listOf(b)
        await("the job is done") { stage(b, "wk-000003") == "done" }
        val started = standIns.workers.flatMap { it.started }
        assertEquals(started.toSet().size, started.size, "started again: $started")
        assertEquals(24, started.size)
    }

    @Test
    fun `what cannot be taken is refused at once, and says when to come back`() {
        val a = node("plot-0")
        assertEquals(400, ask(a, "POST", "/v1/jobs", "no json")!!.status)
        assertEquals(400, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000004", 0))!!.status)
        assertEquals(400, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000004", 1, shape = "heap"))!!.status)
        assertEquals(422, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000004", 1, team = "nobody"))!!.status)
        assertEquals(422, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000004", 1, cpus = 5.0))!!.status)
        assertEquals(422, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000004", 7, shape = "standing", team = "small"))!!.status)
        assertEquals(404, ask(a, "GET", "/v1/jobs/wk-000004")!!.status)
        assertEquals(404, ask(a, "GET", "/nowhere")!!.status)
        assertEquals(405, ask(a, "GET", "/checkin")!!.status)
        ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000005", 1))
        await("it is done") { stage(a, "wk-000005") == "done" }
        standIns.store.down = true
        assertEquals(503, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000006", 1))!!.status)
        assertEquals(503, ask(a, "GET", "/v1/jobs/wk-000006")!!.status)
        assertEquals("done", stage(a, "wk-000005"), "a final state is told in an outage too")
        standIns.store.down = false
        await("it is accepted after the outage") { ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000006", 1))!!.status in 200..201 }
        assertTrue(standIns.workers.none { w -> w.started.any { it.job == "wk-000004" } })
    }

    @Test
    fun `a member that is back at once, again and again, takes up what was begun`() {
        val a = node("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000007", 24))!!.status)
        await("some of it has started") { standIns.workers.sumOf { it.started.size } >= 4 }
        // Each earlier process's key, lease and transactions are still about, also those of one that ended while it stood.
        repeat(4) {
            nodes.last().stop()
            node("plot-0", wait = false)
            Thread.sleep(150L * it)
        }
        val b = node("plot-0")
        nodes.dropLast(1).forEach { it.stop() }
        standIns.nodes = listOf(b)
        await("the job is done") { stage(b, "wk-000007") == "done" }
        val started = standIns.workers.flatMap { it.started }
        assertEquals(started.toSet().size, started.size, "started again: $started")
        assertEquals(24, started.size)
    }

    @Test
    fun `a record that cannot be read is kept, and stops neither its job's answers nor the others`() {
        standIns.store.plant("mf/j/l/wk-000070", """{"spec":7}""")
        standIns.store.plant("mf/p/1-2", """{"parts":[{"job":"wk-000071","shard":0,"done":["0"]}]}""")
        standIns.store.plant("mf/p/1-1", """{"parts":[{"job":"wk-000072","shard":"x"}]}""")
        val a = node("plot-0")
        standIns.store.plant("mf/j/l/wk-000073", "[]")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000074", 3))!!.status)
        await("the others run") { stage(a, "wk-000074") == "done" }
        assertEquals("pending", stage(a, "wk-000070"))
        assertEquals("pending", stage(a, "wk-000073"))
        assertEquals(200, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000070", 3))!!.status)
    }

    @Test
    fun `submissions that the store refuses as too many at once are accepted in smaller numbers`() {
        val a = node("plot-0")
        standIns.store.mostSubmissions = 3
        val bodies = (100..130).map { TestJobs.json("wk-000$it", 1) }
        var left = bodies
        await("all are accepted") {
            val answers = standIns.calls(a, "POST", "/v1/jobs", left).map { (it as? Reply.Answer)?.status }
            left = left.filterIndexed { i, _ -> answers[i] !in setOf(200, 201) }
            left.isEmpty()
        }
    }

    @Test
    fun `users that submit, ask and cancel at all nodes at once get no older answer`() {
        val all = listOf(node("plot-0"), node("plot-1"))
        for (i in 200..204) {
            val id = "wk-000$i"
            val submitted = all.flatMap { standIns.calls(it, "POST", "/v1/jobs", List(6) { TestJobs.json(id, 2, shape = "standing") }) }
            assertEquals(emptyList<Reply>(), submitted.filter { (it as? Reply.Answer)?.status !in setOf(200, 201) })
            val looked = all.map { stage(it, id) }
            assertTrue(looked.all { it == "pending" || it == "running" }, "$id is accepted and called $looked")
            val cancelled = all.flatMap { standIns.calls(it, "POST", "/v1/jobs/$id/abort", List(6) { "" }) }
            assertEquals(List(12) { "withdrawn" }, cancelled.map { (it as? Reply.Answer)?.json?.string("stage") })
            all.forEach { assertEquals("withdrawn", stage(it, id)) }
            all.forEach { assertEquals("withdrawn", ask(it, "POST", "/v1/jobs", TestJobs.json(id, 3))!!.json.string("stage")) }
        }
        await("what was cancelled is gone") { standIns.workers.sumOf { it.present.size } == 0 }
    }

    @Test
    fun `a controller that reaches neither the store nor a sibling refuses at once and is not ready`() {
        val a = node("plot-0")
        standIns.store.unresponsive = true
        await("it is not ready") { ask(a, "GET", "/ready")?.status == 503 }
        assertEquals(503, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000008", 1))!!.status)
        assertEquals(503, ask(a, "GET", "/v1/jobs/wk-000008")!!.status)
        standIns.store.unresponsive = false
        await("it is ready again") { ask(a, "GET", "/ready")?.status == 200 }
        await("it accepts again") { ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000008", 1))!!.status in 200..201 }
    }
}
