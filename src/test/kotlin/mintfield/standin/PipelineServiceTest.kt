package mintfield.standin

import mintfield.app.cli.ExitCode
import mintfield.app.cli.PipelineCommand
import mintfield.core.model.StateLimits
import mintfield.io.http.Reply
import mintfield.io.json.string
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.Test
import java.net.InetSocketAddress
import java.util.concurrent.CompletableFuture

/** Jobs that depend on others, at whole controllers over loopback: what a user sees. */
class PipelineServiceTest {
    private val cluster = TestCluster()
    private val standIns get() = cluster.standIns

    @BeforeEach
    fun start() = cluster.start(machines = 3)

    @AfterEach
    fun stop() = cluster.stop()

    private fun peers(): List<InetSocketAddress> = cluster.startSiblings("plot-0", "plot-1", "plot-2") { it.copy(nextStateLimits = LOWER) }.map { it.address }

    private fun submit(
        node: InetSocketAddress,
        id: String,
        vararg predecessors: String,
        tasks: Int = 2,
        shape: String = "sweep",
    ): Reply.Answer = cluster.ask(node, "POST", "/v1/jobs", TestJobs.json(id, tasks, shape, predecessors = predecessors.toList()))!!

    private fun stage(
        node: InetSocketAddress,
        id: String,
    ) = cluster
        .ask(node, "GET", "/v1/jobs/$id")
        ?.takeIf { it.status == 200 }
        ?.json
        ?.string("stage")

    private fun cancel(
        node: InetSocketAddress,
        id: String,
    ) = cluster.ask(node, "POST", "/v1/jobs/$id/abort")!!.json.string("stage")

    /** What the operators' command prints. */
    private fun shown(id: String): List<String> {
        val lines = ArrayList<String>()
        assertEquals(ExitCode.DONE, PipelineCommand(cluster.nodes.first().settings, lines::add).run(id))
        return lines
    }

    /** Whether the final state of job [id] is recorded, so that its record is gone. */
    private fun isRecorded(id: String) = shown(id) == listOf("$id withdrawn")

    /** The lease of the leader's key: another one is another leadership. */
    private fun leaderLease(): Long? {
        val lease = CompletableFuture<Long?>()
        standIns.loop.post { lease.complete(standIns.store.leaseOf("mf/leader")) }
        return lease.get()
    }

    private fun started(job: String) = standIns.workers.flatMap { it.started }.count { it.job == job }

    @Test
    fun `each job of a pipeline starts when those before it are done, whichever node takes it`() {
        val nodes = peers()
        assertEquals(201, submit(nodes[0], "wk-1").status)
        // At once at another node, which may be behind.
        assertEquals(201, submit(nodes[1], "wk-2", "wk-1").status)
        assertEquals(201, submit(nodes[2], "wk-3", "wk-1", "wk-1").status)
        assertEquals(201, submit(nodes[0], "wk-4", "wk-2", "wk-3").status)
        assertEquals("pending", stage(nodes[1], "wk-4"))
        await("the first job is done") { stage(nodes[1], "wk-1") == "done" }
        assertEquals(0, started("wk-4"))
        assertEquals("wk-4 unfinished, submitted to start after 2 others:", shown("wk-4").first())
        assertEquals(listOf("wk-4", "wk-2", "wk-1", "wk-3"), shown("wk-4").filter { "as above" !in it }.map { it.trim().substringBefore(' ') })
        await("the last job is done") { stage(nodes[2], "wk-4") == "done" }
        assertEquals(8, standIns.workers.sumOf { it.started.size })
        assertEquals(201, submit(nodes[1], "wk-5", "wk-1", "wk-4").status)
        await("a job after jobs that are long over is done") { stage(nodes[0], "wk-5") == "done" }
    }

    @Test
    fun `what names a job that was never accepted, a service or no list is refused`() {
        val nodes = peers()
        assertEquals(422, submit(nodes[0], "wk-1", "wk-9").status)
        assertEquals(422, submit(nodes[0], "wk-1", "wk-1").status)
        assertEquals(422, submit(nodes[0], "wk-1", "what").status)
        assertEquals(201, submit(nodes[0], "wk-2", shape = "standing").status)
        assertEquals(422, submit(nodes[1], "wk-1", "wk-2").status)
        val malformed = TestJobs.json("wk-1", 1).replace("\"awaits\":[]", "\"awaits\":\"wk-2\"")
        assertEquals(400, cluster.ask(nodes[0], "POST", "/v1/jobs", malformed)!!.status)
        assertEquals(404, cluster.ask(nodes[0], "GET", "/v1/jobs/wk-1")!!.status)
        assertEquals(201, submit(nodes[2], "wk-1").status)
        // It is known now, whatever it is said to depend on.
        assertEquals(200, submit(nodes[2], "wk-1", "wk-9").status)
    }

    @Test
    fun `with a job all that depend on it are withdrawn at once at every node, also those that come later`() {
        val nodes = peers()
        submit(nodes[0], "wk-1", tasks = 4)
        submit(nodes[1], "wk-2", "wk-1")
        submit(nodes[2], "wk-3", "wk-2")
        submit(nodes[0], "wk-4")
        submit(nodes[0], "wk-5", "wk-4")
        assertEquals("withdrawn", cancel(nodes[2], "wk-1"))
        for (node in nodes) for (id in listOf("wk-2", "wk-3")) assertEquals("withdrawn", stage(node, id), "$id at $node")
        assertEquals("withdrawn", cancel(nodes[1], "wk-3"))
        val late = submit(nodes[1], "wk-6", "wk-3", "wk-4")
        assertEquals(201, late.status)
        await("it is withdrawn too") { nodes.all { stage(it, "wk-6") == "withdrawn" } }
        await("the others are done") { nodes.all { stage(it, "wk-5") == "done" } }
        assertEquals("done", cancel(nodes[0], "wk-4"))
        assertEquals("done", stage(nodes[1], "wk-5"))
        assertEquals(0, started("wk-2") + started("wk-3") + started("wk-6"))
    }

    @Test
    fun `what was confirmed just before an outage holds for the jobs after it as soon as the outage ends`() {
        val nodes = peers()
        submit(nodes[0], "wk-1", tasks = 4)
        for (i in 2..9) submit(nodes[1], "wk-$i", "wk-${i - 1}")
        assertEquals("withdrawn", cancel(nodes[0], "wk-1"))
        standIns.store.down = true
        for (node in nodes) assertTrue(stage(node, "wk-9") in setOf(null, "withdrawn"), "in the outage, at $node")
        standIns.store.down = false
        await("the state service is back") { nodes.all { stage(it, "wk-9") != null } }
        for (node in nodes) for (i in 2..9) assertEquals("withdrawn", stage(node, "wk-$i"), "wk-$i at $node")
    }

    @Test
    fun `a new leader gates and cancels by what is recorded`() {
        val nodes = peers()
        submit(nodes[0], "wk-1", tasks = 12)
        submit(nodes[1], "wk-2", "wk-1")
        submit(nodes[1], "wk-3", tasks = 12)
        submit(nodes[1], "wk-4", "wk-3")
        await("the first job runs") { started("wk-1") > 0 }
        cancel(nodes[1], "wk-3")
        for (node in cluster.nodes.toList()) cluster.restart(node)
        cluster.nodes.takeLast(3).forEach(cluster::awaitReady)
        await("the one is done") { stage(nodes[0], "wk-2") == "done" }
        await("the other is withdrawn") { stage(nodes[0], "wk-4") == "withdrawn" }
        assertEquals(0, started("wk-4"))
    }

    @Test
    fun `lower limits without notice stop nothing, and a record from before can still be cancelled`() {
        val nodes = peers()
        val types = listOf("box") + (1..LONG_LIST).map { "no-such-machine-type-$it" }
        // As an earlier version would have taken it: the record is larger than the values to come.
        val large = TestJobs.json("wk-1", 2, types = types)
        standIns.store.plant("mf/j/l/wk-1", """{"spec":$large,"at":${System.currentTimeMillis()},"fits":["box"]}""")
        assertEquals(400, cluster.ask(nodes[0], "POST", "/v1/jobs", large.replace("wk-1", "wk-2"))!!.status, "refused now, not when it has to change")
        await("it is known") { stage(nodes[1], "wk-1") != null }
        submit(nodes[1], "wk-60", tasks = 12)
        for (id in SUCCESSORS) submit(nodes[0], id, "wk-60")
        val lead = leaderLease()
        standIns.store.mostValueBytes = LOWER.valueBytes
        standIns.store.mostWrites = LOWER.txnOps
        // More writes than a transaction may hold from now on.
        assertEquals("withdrawn", cancel(nodes[0], "wk-60"))
        await("the cascade is recorded") { SUCCESSORS.all(::isRecorded) }
        for (i in 10 until 40) submit(nodes[i % 3], "wk-$i")
        submit(nodes[0], "wk-50", "wk-10", "wk-11", "wk-39")
        assertEquals("withdrawn", cancel(nodes[2], "wk-1"))
        await("all others are done") { (10 until 40).all { stage(nodes[0], "wk-$it") == "done" } && stage(nodes[1], "wk-50") == "done" }
        for (node in nodes) assertEquals("withdrawn", stage(node, "wk-1"))
        assertEquals(lead, leaderLease(), "the lead has changed hands")
    }

    @Test
    fun `while a controller is not known to run this version nothing new is taken`() {
        standIns.store.plant("mf/v/plot-1", """{"generation":2}""")
        val address = "127.0.0.1:1"
        val node =
            cluster
                .startNode("plot-0") {
                    it.copy(
                        peers =
                            listOf("plot-1", "plot-2").map { name ->
                                mintfield.core.model.Peer(name, "north", address)
                            },
                    )
                }.address
        assertEquals(201, submit(node, "wk-1").status)
        assertEquals(503, submit(node, "wk-2", "wk-1").status)
        standIns.store.plant("mf/v/plot-2", """{"generation":2}""")
        await("all have it") { submit(node, "wk-2", "wk-1").status == 201 }
    }

    private companion object {
        val SUCCESSORS = (61..72).map { "wk-$it" }
        val LOWER = StateLimits(writeRps = 400.0, valueKb = 2.0, txnOps = 5)

        /** Names that make a record larger than a value of 2 KiB. */
        const val LONG_LIST = 100
    }
}
