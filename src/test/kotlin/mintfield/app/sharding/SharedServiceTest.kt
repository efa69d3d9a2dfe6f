package mintfield.app.sharding

import com.networknt.schema.Error
import com.networknt.schema.InputFormat
import com.networknt.schema.SchemaRegistry
import com.networknt.schema.SpecificationVersion
import mintfield.app.cli.MachinesCommand
import mintfield.app.cli.MachinesRequest
import mintfield.core.model.Team
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.string
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.store.Keys
import mintfield.io.store.LeaderKeys
import mintfield.loopback.TestCluster
import mintfield.loopback.TestController
import mintfield.loopback.await
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.File
import java.net.InetSocketAddress

/** Real controllers over loopback, each the leader of a share, with machines that move between them. */
class SharedServiceTest {
    private val cluster = TestCluster()
    private val members = listOf("plot-0", "plot-1", "plot-2")
    private var shards = members.mapIndexed { i, home -> ShardSettings("s$i", home, listOf("team$i")) }
    private lateinit var nodes: List<TestController>

    @AfterEach
    fun stop() = cluster.stop()

    private fun start(
        machines: Int,
        taskMs: Long,
    ) {
        cluster.start(machines, taskMs)
        (0 until machines)
            .groupBy { AssignmentTable.blockOf(named(it)) }
            .forEach { (block, numbers) ->
                val content = numbers.associate { named(it) to Assignment.Owned("s${it % shards.size}") }
                cluster.services.store.forcePut(Keys.assignments(block), String(AssignmentCodec.write(content)))
            }
        nodes =
            cluster.startPeers(*members.toTypedArray()) { s ->
                s.copy(
                    teams = shards.map { Team(it.teams.single(), 0.0, 0.0, 0.0, 0.0) },
                    operator = s.operator.copy(sharding = ShardingSettings(shards)),
                )
            }
        await("all workers are heard") { cluster.services.workers.all { it.sim.term > 0 } }
    }

    private fun named(number: Int) = "m-%06d".format(number)

    private fun submit(
        id: String,
        team: Int,
        tasks: Int,
        vararg predecessors: String,
    ) = assertEquals(201, cluster.ask(nodes[(team + 1) % nodes.size].address, "POST", "/v1/jobs", job(id, team, tasks, predecessors.toList()))?.status)

    private fun job(
        id: String,
        team: Int,
        tasks: Int,
        predecessors: List<String> = emptyList(),
    ) = """{"id":"$id","bench":"slice","crew":"team$team","shape":"sweep","urgency":"normal","pieces":$tasks,"vcpus":1.0,"cards":0,
        "memoryGb":1.0,"seedbag":"img","sizeGb":1.0,"samePlace":false,"spread":false,"gleaning":true,"growS":3.0,"harvestS":0,"baleS":0,
        "awaits":${predecessors.joinToString(",", "[", "]") { "\"$it\"" }}}"""

    private val schema =
        SchemaRegistry
            .withDefaultDialect(SpecificationVersion.DRAFT_2020_12)
            .getSchema(File("docs/schemas/machines-show.schema.json").readText(), InputFormat.JSON)

    private fun stored(path: String) = cluster.ask(InetSocketAddress("127.0.0.1", cluster.services.storePort), "GET", path)!!.json

    private fun leaderAt(keys: LeaderKeys) = stored("/store/${keys.leader}")["data"].asMap()?.string("member")

    private fun stage(id: String) = cluster.ask(nodes.last().address, "GET", "/v1/jobs/$id")?.json?.string("stage")

    private fun command(
        vararg words: String,
        json: Boolean = false,
    ): Pair<Int?, String> {
        val printed = ArrayList<String>()
        val settings = nodes.first().settings
        val command = MachinesCommand(settings, settings.operator.sharding!!, json, printed::add)
        val exitCode = MachinesRequest.parse(words.toList())?.let(command::run)
        return exitCode?.number to printed.joinToString("\n")
    }

    @Test
    fun `jobs go on while their machines change hands, and none is run twice or lost`() {
        start(machines = 6, taskMs = 6_000)
        for (team in 0..2) submit("wk-00000$team", team, tasks = 12)
        await("tasks run") { cluster.services.workers.sumOf { it.activeTasks.size } >= 20 }
        for (round in 0..3) for (machine in 0 until 6) command("move", named(machine), "s${(machine + round + 1) % 3}").also { Thread.sleep(150) }
        await("all jobs are done") { (0..2).all { stage("wk-00000$it") == "done" } }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
        val started = cluster.services.workers.flatMap { it.started }
        assertEquals(36, started.size, "starts: ${started.groupingBy { it }.eachCount().filterValues { it > 1 }}")
        await("no move is left") { command("show").second.lines().size == 3 }
    }

    @Test
    fun `a job waits for those of another share, and is withdrawn with them`() {
        start(machines = 6, taskMs = 2_000)
        submit("wk-000001", 0, 4)
        submit("wk-000002", 1, 4, "wk-000001")
        submit("wk-000003", 2, 2, "wk-000002")
        submit("wk-000011", 0, 4)
        submit("wk-000012", 1, 2, "wk-000011")
        submit("wk-000013", 2, 2, "wk-000012", "wk-000001")
        cluster.ask(nodes[1].address, "POST", "/v1/jobs/wk-000011/abort")
        assertEquals(listOf("withdrawn", "withdrawn"), listOf(stage("wk-000012"), stage("wk-000013")))
        await("the pipeline is done") {
            val begun = started("wk-000002") > 0
            assertTrue(!begun || stage("wk-000001") == "done", "begun before its predecessor in another share was done")
            stage("wk-000003") == "done"
        }
        assertEquals(listOf(4, 2, 0, 0), listOf("wk-000002", "wk-000003", "wk-000012", "wk-000013").map(::started))
        await("the cascade is recorded") { stored("/store/${Keys.final("wk-000013")}")["data"].asMap()?.string("stage") == "withdrawn" }
    }

    private fun started(job: String) =
        cluster.services.workers
            .flatMap { it.started }
            .count { it.job == job }

    @Test
    fun `a controller that ends in the middle of moves leaves nothing behind`() {
        start(machines = 6, taskMs = 5_000)
        for (team in 0..2) submit("wk-00001$team", team, tasks = 16)
        await("tasks run") { cluster.services.workers.sumOf { it.activeTasks.size } >= 20 }
        for (machine in 0 until 6) command("move", named(machine), "s${(machine + 1) % 3}")
        cluster.restart(nodes[1])
        for (machine in 0 until 6) command("move", named(machine), "s${(machine + 2) % 3}")
        await("all jobs are done") { (0..2).all { stage("wk-00001$it") == "done" } }
        await("no move is left") { command("show").second.lines().size == 3 }
    }

    @Test
    fun `the share of a controller that is away is led by another, and given back when it is up again`() {
        // Else the others give it their idle machines while it is short.
        shards = shards.map { it.copy(floor = 1) }
        start(machines = 3, taskMs = 4_000)
        submit("wk-000021", 1, tasks = 12)
        nodes[1].stop()
        cluster.services.controllers = listOf(nodes[0].address, nodes[2].address)
        await("another controller leads its share") { Regex("s1: 1 machines, led by plot-[02]").containsMatchIn(command("show").second) }
        await("its job is done") { stage("wk-000021") == "done" }
        cluster.restart(nodes[1])
        await("it leads its share again") { "s1: 1 machines, led by plot-1" in command("show").second }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
    }

    @Test
    fun `a controller that is drained gives its share to another without losing a task, and takes it back when it resumes`() {
        shards = shards.map { it.copy(floor = 1) }
        start(machines = 3, taskMs = 6_000)
        submit("wk-000031", 1, tasks = 8)
        await("its tasks run") {
            cluster.services.workers[1]
                .activeTasks
                .isNotEmpty()
        }
        assertEquals(1 to "refused: unknown controller", command("drain", "plot-9"))
        assertEquals(0 to "done", command("drain", "plot-1"))
        assertEquals(1 to "refused: it is drained already", command("drain", "plot-1"))
        await("another controller leads its share") { Regex("s1: 1 machines, led by plot-[02]").containsMatchIn(command("show").second) }
        assertTrue("plot-1: drained, leads nothing" in command("show").second)
        await("its job is done") { stage("wk-000031") == "done" }
        assertEquals(8, cluster.services.workers.sumOf { it.started.size }, "starts")
        val json = command("show", json = true).second
        assertEquals(emptyList<Error>(), schema.validate(json, InputFormat.JSON))
        assertTrue("""{"controller":"plot-1","leads":[]}""" in json)
        assertEquals(0 to "done", command("drain", "plot-0"))
        assertEquals(1 to "refused: no other controller would be left", command("drain", "plot-2"))
        assertEquals(0 to "done", command("resume", "plot-1"))
        assertEquals(1 to "refused: it is not drained", command("resume", "plot-1"))
        await("it leads its share again") { "s1: 1 machines, led by plot-1" in command("show").second }
        await("only the two that are not drained lead") { !Regex("led by (plot-0|nobody)").containsMatchIn(command("show").second) }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
    }

    @Test
    fun `no share is led while a controller without sharing leads or has left work, and none leads beside the shares`() {
        cluster.start(machines = 1, taskMs = 15_000)
        val alone = cluster.startController("plot-7")
        await("it leads all machines") { leaderAt(LeaderKeys()) != null }
        assertEquals(201, cluster.ask(alone.address, "POST", "/v1/jobs", job("wk-000041", 0, tasks = 1).replace("team0", "floor"))?.status)
        await("its job runs") {
            cluster.services.workers[0]
                .activeTasks
                .isNotEmpty()
        }
        val shared = ShardingSettings(listOf(ShardSettings("all", "plot-0", listOf("floor", "small"))))
        nodes = listOf(cluster.startController("plot-0") { it.copy(operator = it.operator.copy(sharding = shared)) })
        Thread.sleep(3_000)
        assertEquals(null, leaderAt(LeaderKeys("all")), "the other one leads")
        alone.stop()
        await("the lease of the one that led has ended") { leaderAt(LeaderKeys()) == null }
        Thread.sleep(7_000)
        assertEquals(null, leaderAt(LeaderKeys("all")), "a round of it is left")
        val again = cluster.restart(alone)
        await("its job is done") { cluster.ask(again.address, "GET", "/v1/jobs/wk-000041")?.json?.string("stage") == "done" }
        await("nothing of it is left") { stored("/store?starts=${LeaderKeys().rounds}&most=1")["entries"].asList().isNullOrEmpty() }
        again.stop()
        await("the share is led") { leaderAt(LeaderKeys("all")) != null }
        val late = cluster.restart(again)
        await("it knows that shares are led") { cluster.ask(late.address, "GET", "/ready")?.status == 200 }
        Thread.sleep(3_000)
        assertEquals("(shares)", leaderAt(LeaderKeys()))
        assertEquals(1 to "refused: plot-0 leads a share; stop all controllers first", command("unshare"))
        nodes.single().stop()
        await("nobody leads the share") { leaderAt(LeaderKeys("all")) == null }
        assertEquals(0 to "done", command("unshare"))
        await("one leads all machines again") { leaderAt(LeaderKeys()) == "plot-7" }
        assertEquals(1 to "refused: machines are not shared", command("unshare"))
    }

    @Test
    fun `the command shows owners and refuses by reason`() {
        start(machines = 3, taskMs = 3_000)
        assertEquals(0 to "s0: 1 machines, led by plot-0\ns1: 1 machines, led by plot-1\ns2: 1 machines, led by plot-2", command("show"))
        assertEquals(0 to named(1), command("show", "s1"))
        assertEquals(1 to "refused: unknown share", command("show", "s9"))
        assertEquals(1 to "refused: unknown machine", command("move", "m-9", "s1"))
        assertEquals(1 to "refused: unknown share", command("move", named(0), "s9"))
        assertEquals(1 to "refused: the target owns it already", command("move", named(0), "s0"))
        assertEquals(1 to "refused: it is not moving", command("cancel", named(0)))
        assertEquals(null, command("move").first)
        assertEquals(0 to "done", command("move", named(0), "s1"))
        await("it has moved") { "s1: 2 machines" in command("show").second }
        assertTrue("s0: 0 machines" in command("show").second)
    }
}
