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

/** Behaviour of jobs with predecessors as users observe it, on real controllers over loopback. */
class PipelineServiceTest {
    private val cluster = TestCluster()
    private val services get() = cluster.services

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun peers(): List<InetSocketAddress> =
        cluster.startPeers("plot-0", "plot-1", "plot-2") { it.copy(nextStateLimits = LOWERED_LIMITS) }.map { it.address }

    private fun submit(
        controller: InetSocketAddress,
        id: String,
        vararg predecessors: String,
        tasks: Int = 2,
        shape: String = "sweep",
    ): HttpResult.Received = cluster.ask(controller, "POST", "/v1/jobs", TestJobs.json(id, tasks, shape, predecessors = predecessors.toList()))!!

    private fun phaseOf(
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

    /** Lines that the operators' command `pipeline` prints for job [id]. */
    private fun pipelineOutput(id: String): List<String> {
        val lines = ArrayList<String>()
        assertEquals(ExitCode.DONE, PipelineCommand(cluster.controllers.first().settings, lines::add).run(id))
        return lines
    }

    /** Whether the cancellation of job [id] is recorded as its final state, which deletes its live record. */
    private fun isCancellationRecorded(id: String) = pipelineOutput(id) == listOf("$id withdrawn")

    /** Lease of the leader key in the store, which differs between terms. */
    private fun leaderLease(): Long? {
        val lease = CompletableFuture<Long?>()
        services.loop.post { lease.complete(services.store.leaseOf("mf/leader")) }
        return lease.get()
    }

    private fun startCount(job: String) = services.workers.flatMap { it.started }.count { it.job == job }

    @Test
    fun `each job of a pipeline starts when its predecessors are done, whichever controller accepts it`() {
        val controllers = peers()
        assertEquals(201, submit(controllers[0], "wk-1").status)
        // Submitted without delay at another controller, whose replica of the jobs may lag.
        assertEquals(201, submit(controllers[1], "wk-2", "wk-1").status)
        assertEquals(201, submit(controllers[2], "wk-3", "wk-1", "wk-1").status)
        assertEquals(201, submit(controllers[0], "wk-4", "wk-2", "wk-3").status)
        assertEquals("pending", phaseOf(controllers[1], "wk-4"))
        await("wk-1 is done") { phaseOf(controllers[1], "wk-1") == "done" }
        assertEquals(0, startCount("wk-4"))
        assertEquals("wk-4 unfinished, submitted to start after 2 others:", pipelineOutput("wk-4").first())
        assertEquals(listOf("wk-4", "wk-2", "wk-1", "wk-3"), pipelineOutput("wk-4").filter { "as above" !in it }.map { it.trim().substringBefore(' ') })
        await("wk-4 is done") { phaseOf(controllers[2], "wk-4") == "done" }
        assertEquals(8, services.workers.sumOf { it.started.size })
        assertEquals(201, submit(controllers[1], "wk-5", "wk-1", "wk-4").status)
        await("wk-5, whose predecessors ended before its submission, is done") { phaseOf(controllers[0], "wk-5") == "done" }
    }

    @Test
    fun `a submission is refused if a predecessor is unknown or a service, or if the predecessors are not a list`() {
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
        // A known job is accepted again regardless of the predecessors in the repeated submission.
        assertEquals(200, submit(controllers[2], "wk-1", "wk-9").status)
    }

    @Test
    fun `a cancellation takes effect at once on all dependent jobs at every controller, also on those submitted later`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 4)
        submit(controllers[1], "wk-2", "wk-1")
        submit(controllers[2], "wk-3", "wk-2")
        submit(controllers[0], "wk-4")
        submit(controllers[0], "wk-5", "wk-4")
        assertEquals("withdrawn", cancel(controllers[2], "wk-1"))
        for (controller in controllers) for (id in listOf("wk-2", "wk-3")) assertEquals("withdrawn", phaseOf(controller, id), "$id at $controller")
        assertEquals("withdrawn", cancel(controllers[1], "wk-3"))
        val submittedLater = submit(controllers[1], "wk-6", "wk-3", "wk-4")
        assertEquals(201, submittedLater.status)
        await("wk-6 is cancelled") { controllers.all { phaseOf(it, "wk-6") == "withdrawn" } }
        await("wk-5 is done") { controllers.all { phaseOf(it, "wk-5") == "done" } }
        assertEquals("done", cancel(controllers[0], "wk-4"))
        assertEquals("done", phaseOf(controllers[1], "wk-5"))
        assertEquals(0, startCount("wk-2") + startCount("wk-3") + startCount("wk-6"))
    }

    @Test
    fun `a cancellation confirmed just before an outage is observed for dependent jobs as soon as the outage ends`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 4)
        for (i in 2..9) submit(controllers[1], "wk-$i", "wk-${i - 1}")
        assertEquals("withdrawn", cancel(controllers[0], "wk-1"))
        services.store.down = true
        for (controller in controllers) assertTrue(phaseOf(controller, "wk-9") in setOf(null, "withdrawn"), "during the outage, at $controller")
        services.store.down = false
        await("the store is available again") { controllers.all { phaseOf(it, "wk-9") != null } }
        for (controller in controllers) for (i in 2..9) assertEquals("withdrawn", phaseOf(controller, "wk-$i"), "wk-$i at $controller")
    }

    @Test
    fun `restarted controllers start and cancel dependent jobs according to the store`() {
        val controllers = peers()
        submit(controllers[0], "wk-1", tasks = 12)
        submit(controllers[1], "wk-2", "wk-1")
        submit(controllers[1], "wk-3", tasks = 12)
        submit(controllers[1], "wk-4", "wk-3")
        await("wk-1 runs") { startCount("wk-1") > 0 }
        cancel(controllers[1], "wk-3")
        for (controller in cluster.controllers.toList()) cluster.restart(controller)
        cluster.controllers.takeLast(3).forEach(cluster::awaitReady)
        await("wk-2 is done") { phaseOf(controllers[0], "wk-2") == "done" }
        await("wk-4 is cancelled") { phaseOf(controllers[0], "wk-4") == "withdrawn" }
        assertEquals(0, startCount("wk-4"))
    }

    @Test
    fun `jobs keep running after the store lowers its limits, and a job whose record exceeds the new limit can be cancelled`() {
        val controllers = peers()
        val types = listOf("box") + (1..MANY_TYPES).map { "no-such-machine-type-$it" }
        // Planted, as an earlier version would have accepted it: the record exceeds the value size that the lowered limits allow.
        val large = TestJobs.json("wk-1", 2, types = types)
        services.store.forcePut("mf/j/l/wk-1", """{"spec":$large,"at":${System.currentTimeMillis()},"fits":["box"]}""")
        assertEquals(
            400,
            cluster.ask(controllers[0], "POST", "/v1/jobs", large.replace("wk-1", "wk-2"))!!.status,
            "a record above the next value size is refused on submission, not only on its first change",
        )
        await("wk-1 is known") { phaseOf(controllers[1], "wk-1") != null }
        submit(controllers[1], "wk-60", tasks = 12)
        for (id in SUCCESSORS) submit(controllers[0], id, "wk-60")
        val lease = leaderLease()
        services.store.maxValueBytes = LOWERED_LIMITS.valueBytes
        services.store.maxWrites = LOWERED_LIMITS.txnOps
        // The cascade takes more writes than one transaction may now hold.
        assertEquals("withdrawn", cancel(controllers[0], "wk-60"))
        await("the cascade is recorded") { SUCCESSORS.all(::isCancellationRecorded) }
        for (i in 10 until 40) submit(controllers[i % 3], "wk-$i")
        submit(controllers[0], "wk-50", "wk-10", "wk-11", "wk-39")
        assertEquals("withdrawn", cancel(controllers[2], "wk-1"))
        await("all other jobs are done") { (10 until 40).all { phaseOf(controllers[0], "wk-$it") == "done" } && phaseOf(controllers[1], "wk-50") == "done" }
        for (controller in controllers) assertEquals("withdrawn", phaseOf(controller, "wk-1"))
        assertEquals(lease, leaderLease(), "the leader has changed")
    }

    @Test
    fun `dependent jobs are refused until every controller has recorded the generation that supports them`() {
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
        await("wk-2 is accepted once plot-2 has recorded the generation") { submit(controller, "wk-2", "wk-1").status == 201 }
    }

    private companion object {
        val SUCCESSORS = (61..72).map { "wk-$it" }
        val LOWERED_LIMITS = StateLimits(writeRps = 400.0, valueKb = 2.0, txnOps = 5)

        /** Number of machine types that makes a record exceed the value limit of 2 KiB. */
        const val MANY_TYPES = 100
    }
}
