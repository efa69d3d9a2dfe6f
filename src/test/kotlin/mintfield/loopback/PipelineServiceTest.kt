package mintfield.loopback

import mintfield.app.cli.ExitCode
import mintfield.app.cli.PipelineCommand
import mintfield.core.model.StateLimits
import mintfield.io.http.HttpResult
import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture

/** Jobs with predecessors at real controllers over loopback: what a user sees. */
class PipelineServiceTest {
    private val cluster = TestCluster()
    private val services get() = cluster.services

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun peers(): List<InetSocketAddress> = cluster.startPeers("plot-0", "plot-1", "plot-2") { it.copy(nextStateLimits = LOWER) }.map { it.address }

    private fun submit(
        controller: InetSocketAddress,
        id: String,
        vararg predecessors: String,
        tasks: Int = 2,
        shape: String = "sweep",
    ): HttpResult.Received = cluster.ask(controller, "POST", "/v1/jobs", TestJobs.json(id, tasks, shape, predecessors = predecessors.toList()))!!

    private fun stage(
        controller: InetSocketAddress,
        id: String,
    ) = cluster
        .ask(controller, "GET", "/v1/jobs/$id")
        ?.takeIf { it.status == 200 }
        ?.json
        ?.string("stage")

    private fun cancel(
        controller: InetSocketAddress,
        id: String,
    ) = cluster.ask(controller, "POST", "/v1/jobs/$id/abort")!!.json.string("stage")

    /** What the operators' command prints. */
    private fun shown(id: String): List<String> {
        val lines = ArrayList<String>()
        assertEquals(ExitCode.DONE, PipelineCommand(cluster.controllers.first().settings, lines::add).run(id))
        return lines
    }

    /** Whether the final state of job [id] is recorded, so that its record is gone. */
    private fun isRecorded(id: String) = shown(id) == listOf("$id withdrawn")

    /** The store lease of the leader key, which differs for each leadership. */
    private fun leaderLease(): Long? {
        val lease = CompletableFuture<Long?>()
        services.loop.post { lease.complete(services.store.leaseOf("mf/leader")) }
        return lease.get()
    }

    private fun started(job: String) = services.workers.flatMap { it.started }.count { it.job == job }

    @Test
    fun `each job of a pipeline starts when its predecessors are done, whichever controller accepts it`() {
        val controllers = peers()
        assertEquals(201, submit(controllers[0], "wk-1").status)
        // At once at another controller, whose replica may lag.
        assertEquals(201, submit(controllers[1], "wk-2", "wk-1").status)
        assertEquals(201, submit(controllers[2], "wk-3", "wk-1", "wk-1").status)
        assertEquals(201, submit(controllers[0], "wk-4", "wk-2", "wk-3").status)
        assertEquals("pending", stage(controllers[1], "wk-4"))
        await("the first job is done") { stage(controllers[1], "wk-1") == "done" }
        assertEquals(0, started("wk-4"))
        assertEquals("wk-4 unfinished, submitted to start after 2 others:", shown("wk-4").first())
        assertEquals(listOf("wk-4", "wk-2", "wk-1", "wk-3"), shown("wk-4").filter { "as above" !in it }.map { it.trim().substringBefore(' ') })
        await("the last job is done") { stage(controllers[2], "wk-4") == "done" }
        assertEquals(8, services.workers.sumOf { it.started.size })
        assertEquals(201, submit(controllers[1], "wk-5", "wk-1", "wk-4").status)
        await("a job whose predecessors ended before its submission is done") { stage(controllers[0], "wk-5") == "done" }
    }

    @Test
    fun `predecessors that are unknown, a service or not a list are refused`() {
        val controllers = peers()
        assertEquals(422, submit(controllers[0], "wk-1", "wk-9").status)
        assertEquals(422, submit(controllers[0], "wk-1", "wk-1").status)
        assertEquals(422, submit(controllers[0], "wk-1", "what").status)
        assertEquals(201, submit(controllers[0], "wk-2", shape = "standing").status)
        assertEquals(422, submit(controllers[1], "wk-1", "wk-2").status)
        val malformed = TestJobs.json("wk-1", 1).replace("\"awaits\":[]", "\"awaits\":\"wk-2\"")
        assertEquals(400, cluster.ask(controllers[0], "POST", "/v1/jobs", malformed)!!.status)
        assertEquals(404, cluster.ask(controllers[0], "GET", "/v1/jobs/wk-1")!!.status)
        assertEquals(201, submit(controllers[2], "wk-1").status)
        // It is known now, whatever it is said to depend on.
        assertEquals(200, submit(controllers[2], "wk-1", "wk-9").status)
    }

    @Test
    fun `a cancellation cancels all dependent jobs at once at every controller, also those submitted later`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 4)
        submit(controllers[1], "wk-2", "wk-1")
        submit(controllers[2], "wk-3", "wk-2")
        submit(controllers[0], "wk-4")
        submit(controllers[0], "wk-5", "wk-4")
        assertEquals("withdrawn", cancel(controllers[2], "wk-1"))
        for (controller in controllers) for (id in listOf("wk-2", "wk-3")) assertEquals("withdrawn", stage(controller, id), "$id at $controller")
        assertEquals("withdrawn", cancel(controllers[1], "wk-3"))
        val late = submit(controllers[1], "wk-6", "wk-3", "wk-4")
        assertEquals(201, late.status)
        await("it is cancelled too") { controllers.all { stage(it, "wk-6") == "withdrawn" } }
        await("the others are done") { controllers.all { stage(it, "wk-5") == "done" } }
        assertEquals("done", cancel(controllers[0], "wk-4"))
        assertEquals("done", stage(controllers[1], "wk-5"))
        assertEquals(0, started("wk-2") + started("wk-3") + started("wk-6"))
    }

    @Test
    fun `a cancellation confirmed just before an outage is observed for dependent jobs as soon as the outage ends`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 4)
        for (i in 2..9) submit(controllers[1], "wk-$i", "wk-${i - 1}")
        assertEquals("withdrawn", cancel(controllers[0], "wk-1"))
        services.store.down = true
        for (controller in controllers) assertTrue(stage(controller, "wk-9") in setOf(null, "withdrawn"), "in the outage, at $controller")
        services.store.down = false
        await("the store is available again") { controllers.all { stage(it, "wk-9") != null } }
        for (controller in controllers) for (i in 2..9) assertEquals("withdrawn", stage(controller, "wk-$i"), "wk-$i at $controller")
    }

    @Test
    fun `new controllers start and cancel dependent jobs by what is recorded`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 12)
        submit(controllers[1], "wk-2", "wk-1")
        submit(controllers[1], "wk-3", tasks = 12)
        submit(controllers[1], "wk-4", "wk-3")
        await("the first job runs") { started("wk-1") > 0 }
        cancel(controllers[1], "wk-3")
        for (controller in cluster.controllers.toList()) cluster.restart(controller)
        cluster.controllers.takeLast(3).forEach(cluster::awaitReady)
        await("the one is done") { stage(controllers[0], "wk-2") == "done" }
        await("the other is cancelled") { stage(controllers[0], "wk-4") == "withdrawn" }
        assertEquals(0, started("wk-4"))
    }

    @Test
    fun `jobs run on after the store lowers its limits without notice, and a larger record can still be cancelled`() {
        val controllers = peers()
        val types = listOf("box") + (1..LONG_LIST).map { "no-such-machine-type-$it" }
        // As an earlier version would have accepted it: the record is larger than the values that will be allowed.
        val large = TestJobs.json("wk-1", 2, types = types)
        services.store.forcePut("mf/j/l/wk-1", """{"spec":$large,"at":${System.currentTimeMillis()},"fits":["box"]}""")
        assertEquals(400, cluster.ask(controllers[0], "POST", "/v1/jobs", large.replace("wk-1", "wk-2"))!!.status, "refused now, not when it has to change")
        await("it is known") { stage(controllers[1], "wk-1") != null }
        submit(controllers[1], "wk-60", tasks = 12)
        for (id in SUCCESSORS) submit(controllers[0], id, "wk-60")
        val lease = leaderLease()
        services.store.maxValueBytes = LOWER.valueBytes
        services.store.maxWrites = LOWER.txnOps
        // More writes than a transaction may hold from now on.
        assertEquals("withdrawn", cancel(controllers[0], "wk-60"))
        await("the cascade is recorded") { SUCCESSORS.all(::isRecorded) }
        for (i in 10 until 40) submit(controllers[i % 3], "wk-$i")
        submit(controllers[0], "wk-50", "wk-10", "wk-11", "wk-39")
        assertEquals("withdrawn", cancel(controllers[2], "wk-1"))
        await("all others are done") { (10 until 40).all { stage(controllers[0], "wk-$it") == "done" } && stage(controllers[1], "wk-50") == "done" }
        for (controller in controllers) assertEquals("withdrawn", stage(controller, "wk-1"))
        assertEquals(lease, leaderLease(), "another leadership has begun")
    }

    @Test
    fun `dependent jobs are refused until every controller has recorded this generation`() {
        services.store.forcePut("mf/v/plot-1", """{"generation":2}""")
        val address = "127.0.0.1:1"
        val controller =
            cluster
                .startController("plot-0") {
                    it.copy(
                        peers =
                            listOf("plot-1", "plot-2").map { name ->
                                mintfield.core.model.Peer(name, "north", address)
                            },
                    )
                }.address
        assertEquals(201, submit(controller, "wk-1").status)
        assertEquals(503, submit(controller, "wk-2", "wk-1").status)
        services.store.forcePut("mf/v/plot-2", """{"generation":2}""")
        await("all have it") { submit(controller, "wk-2", "wk-1").status == 201 }
    }

    private companion object {
        val SUCCESSORS = (61..72).map { "wk-$it" }
        val LOWER = StateLimits(writeRps = 400.0, valueKb = 2.0, txnOps = 5)

        /** Names that make a record larger than a value of 2 KiB. */
        const val LONG_LIST = 100
    }
}
