package mintfield.loopback

import mintfield.io.http.HttpResult
import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicBoolean

/** Behaviour of jobs from submission to their final state as users observe it, on real controllers over loopback. */
class ServiceEndToEndTest {
    private val cluster = TestCluster()
    private val services get() = cluster.services
    private val controllers get() = cluster.controllers

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun startController(
        member: String,
        wait: Boolean = true,
    ): InetSocketAddress = cluster.startController(member, wait).address

    private fun ask(
        controller: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): HttpResult.Received? = cluster.ask(controller, method, path, body)

    private fun phaseOf(
        controller: InetSocketAddress,
        id: String,
    ) = ask(controller, "GET", "/v1/jobs/$id")?.takeIf { it.status == 200 }?.json?.string("stage")

    @Test
    fun `each task of an array starts once, and the job remains known after it is done`() {
        val a = startController("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", 20))!!.status)
        assertEquals(200, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", 20))!!.status)
        await("the job is done") { phaseOf(a, "wk-000001") == "done" }
        val started = services.workers.flatMap { it.started }
        assertEquals(20, started.size)
        assertEquals(20, started.toSet().size)
        val again = ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000001", -5))!!
        assertEquals(200, again.status)
        assertEquals("done", again.json.string("stage"))
        assertEquals("done", ask(a, "POST", "/v1/jobs/wk-000001/abort")!!.json.string("stage"))
    }

    @Test
    fun `a cancelled service stops and remains cancelled`() {
        val a = startController("plot-0")
        ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000002", 2, shape = "standing"))
        await("both replicas run") { services.workers.sumOf { it.activeTasks.size } == 2 }
        assertEquals("withdrawn", ask(a, "POST", "/v1/jobs/wk-000002/abort")!!.json.string("stage"))
        await("both replicas have ended") { services.workers.sumOf { it.activeTasks.size } == 0 }
        assertEquals("withdrawn", phaseOf(a, "wk-000002"))
    }

    @Test
    fun `the record of a job that is cancelled while its plan is being written is deleted`() {
        // Guards against records that stay until the next leader: the plan conflicts with a cancellation that the leader has read already.
        val a = startController("plot-0")
        val delayed = AtomicBoolean()
        val deleted = AtomicBoolean()
        services.store.onChange = { key, data, _ -> if (key == "mf/j/l/wk-000009" && data == null) deleted.set(true) }
        cluster.faults.chooseFault = { _, request ->
            val isPlan = request.path == "/txn" && "\"write\":\"mf/p/" in String(request.body)
            if (isPlan && delayed.compareAndSet(false, true)) StoreFault.AppliedLate(CANCELLATION_READ_MS) else null
        }
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000009", 2, shape = "standing"))!!.status)
        await("the plan is on its way") { delayed.get() }
        assertEquals("withdrawn", ask(a, "POST", "/v1/jobs/wk-000009/abort")!!.json.string("stage"))
        await("its record is deleted") { deleted.get() }
        assertEquals("withdrawn", phaseOf(a, "wk-000009"))
        assertTrue(services.workers.all { it.started.isEmpty() })
    }

    @Test
    fun `a new leader finishes a job without starting a task again`() {
        val a = startController("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000003", 24))!!.status)
        await("half of the tasks have started") { services.workers.sumOf { it.started.size } >= 12 }
        val b = startController("plot-1")
        controllers.first().stop()
        services.controllers = listOf(b)
        await("the job is done") { phaseOf(b, "wk-000003") == "done" }
        val started = services.workers.flatMap { it.started }
        assertEquals(started.toSet().size, started.size, "tasks started more than once: $started")
        assertEquals(24, started.size)
    }

    @Test
    fun `invalid submissions are refused at once, and valid ones are refused in an outage and accepted after it`() {
        val a = startController("plot-0")
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
        await("wk-000005 is done") { phaseOf(a, "wk-000005") == "done" }
        services.store.down = true
        assertEquals(503, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000006", 1))!!.status)
        assertEquals(503, ask(a, "GET", "/v1/jobs/wk-000006")!!.status)
        assertEquals("done", phaseOf(a, "wk-000005"), "a final state is served during an outage")
        services.store.down = false
        await("wk-000006 is accepted after the outage") { ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000006", 1))!!.status in 200..201 }
        assertTrue(services.workers.none { w -> w.started.any { it.job == "wk-000004" } })
    }

    @Test
    fun `a controller that restarts several times in quick succession finishes a job without starting a task again`() {
        val a = startController("plot-0")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000007", 24))!!.status)
        await("some tasks have started") { services.workers.sumOf { it.started.size } >= 4 }
        // The leader key, lease and transactions of each earlier process remain, also of a process that ended during its election.
        repeat(4) {
            controllers.last().stop()
            startController("plot-0", wait = false)
            Thread.sleep(150L * it)
        }
        val b = startController("plot-0")
        controllers.dropLast(1).forEach { it.stop() }
        services.controllers = listOf(b)
        await("the job is done") { phaseOf(b, "wk-000007") == "done" }
        val started = services.workers.flatMap { it.started }
        assertEquals(started.toSet().size, started.size, "tasks started more than once: $started")
        assertEquals(24, started.size)
    }

    @Test
    fun `an unreadable record is kept, requests for its job are answered, and other jobs run`() {
        services.store.forcePut("mf/j/l/wk-000070", """{"spec":7}""")
        services.store.forcePut("mf/p/1-2", """{"parts":[{"job":"wk-000071","shard":0,"done":["0"]}]}""")
        services.store.forcePut("mf/p/1-1", """{"parts":[{"job":"wk-000072","shard":"x"}]}""")
        val a = startController("plot-0")
        services.store.forcePut("mf/j/l/wk-000073", "[]")
        assertEquals(201, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000074", 3))!!.status)
        await("wk-000074 is done") { phaseOf(a, "wk-000074") == "done" }
        assertEquals("pending", phaseOf(a, "wk-000070"))
        assertEquals("pending", phaseOf(a, "wk-000073"))
        assertEquals(200, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000070", 3))!!.status)
    }

    @Test
    fun `the round record of a job whose own record is unreadable is kept`() {
        // Guards against ran_twice: a later leader that can read the job must learn from it where its tasks may run.
        services.store.forcePut("mf/j/l/wk-000075", """{"spec":7}""")
        services.store.forcePut("mf/p/1-1", """{"v":2,"parts":[{"job":"wk-000075","shard":0,"plan":[["m-9",1,65536,"0"]]}]}""")
        services.store.forcePut("mf/p/1-2", """{"v":2,"parts":[{"job":"wk-000076","shard":0,"plan":[["m-9",1,65536,"0"]]}]}""")
        val deleted = ConcurrentLinkedQueue<String>()
        services.store.onChange = { key, data, _ -> if (key.startsWith("mf/p/") && data == null) deleted.add(key) }
        startController("plot-0")
        await("the round record of a job that has ended is deleted") { "mf/p/1-2" in deleted }
        assertEquals(listOf("mf/p/1-2"), deleted.toList())
    }

    @Test
    fun `submissions batched into a transaction that is too large for the store are accepted in smaller ones`() {
        val a = startController("plot-0")
        services.store.maxSubmissions = 3
        val bodies = (100..130).map { TestJobs.json("wk-000$it", 1) }
        var remaining = bodies
        await("all submissions are accepted") {
            val statuses = services.client.callAll(a, "POST", "/v1/jobs", remaining).map { (it as? HttpResult.Received)?.status }
            remaining = remaining.filterIndexed { i, _ -> statuses[i] !in setOf(200, 201) }
            remaining.isEmpty()
        }
    }

    @Test
    fun `users that submit, poll and cancel at all controllers at once observe no stale state`() {
        val all = listOf(startController("plot-0"), startController("plot-1"))
        for (i in 200..204) {
            val id = "wk-000$i"
            val submitted = all.flatMap { services.client.callAll(it, "POST", "/v1/jobs", List(6) { TestJobs.json(id, 2, shape = "standing") }) }
            assertEquals(emptyList<HttpResult>(), submitted.filter { (it as? HttpResult.Received)?.status !in setOf(200, 201) })
            val observed = all.map { phaseOf(it, id) }
            assertTrue(observed.all { it == "pending" || it == "running" }, "$id is accepted and observed as $observed")
            val cancelled = all.flatMap { services.client.callAll(it, "POST", "/v1/jobs/$id/abort", List(6) { "" }) }
            assertEquals(List(12) { "withdrawn" }, cancelled.map { (it as? HttpResult.Received)?.json?.string("stage") })
            all.forEach { assertEquals("withdrawn", phaseOf(it, id)) }
            all.forEach { assertEquals("withdrawn", ask(it, "POST", "/v1/jobs", TestJobs.json(id, 3))!!.json.string("stage")) }
        }
        await("the cancelled tasks have ended") { services.workers.sumOf { it.activeTasks.size } == 0 }
    }

    @Test
    fun `a controller that reaches neither the store nor a peer refuses requests at once and is not ready`() {
        val a = startController("plot-0")
        services.store.unresponsive = true
        await("plot-0 is not ready") { ask(a, "GET", "/ready")?.status == 503 }
        assertEquals(503, ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000008", 1))!!.status)
        assertEquals(503, ask(a, "GET", "/v1/jobs/wk-000008")!!.status)
        services.store.unresponsive = false
        await("plot-0 is ready again") { ask(a, "GET", "/ready")?.status == 200 }
        await("wk-000008 is accepted") { ask(a, "POST", "/v1/jobs", TestJobs.json("wk-000008", 1))!!.status in 200..201 }
    }

    private companion object {
        /** Longer than a leader needs to read a cancellation, and shorter than it waits for the response to a transaction. */
        const val CANCELLATION_READ_MS = 800L
    }
}
