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

/** Runs real controllers over loopback, each the leader of a shard, while machines move between the shards. */
class ShardedServiceTest {
    private val cluster = TestCluster()
    private val controllers = listOf("plot-0", "plot-1", "plot-2")
    private var shards = controllers.mapIndexed { i, home -> ShardSettings("s$i", home, listOf("team$i")) }
    private lateinit var nodes: List<TestController>

    @AfterEach
    fun stop() = cluster.stop()

    private fun start(
        machines: Int,
        taskMs: Long,
    ) {
        cluster.start(machines, taskMs)
        (0 until machines)
            .groupBy { AssignmentTable.blockOf(machineName(it)) }
            .forEach { (block, numbers) ->
                val content = numbers.associate { machineName(it) to Assignment.Owned("s${it % shards.size}") }
                cluster.services.store.forcePut(Keys.assignments(block), String(AssignmentCodec.write(content)))
            }
        nodes =
            cluster.startPeers(*controllers.toTypedArray()) { s ->
                s.copy(
                    teams = shards.map { Team(it.teams.single(), 0.0, 0.0, 0.0, 0.0) },
                    operator = s.operator.copy(sharding = ShardingSettings(shards)),
                )
            }
        await("every worker has received the term of a leader") { cluster.services.workers.all { it.sim.term > 0 } }
    }

    private fun machineName(number: Int) = "m-%06d".format(number)

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

    private fun readStore(path: String) = cluster.ask(InetSocketAddress("127.0.0.1", cluster.services.storePort), "GET", path)!!.json

    private fun leaderAt(keys: LeaderKeys) = readStore("/store/${keys.leader}")["data"].asMap()?.string("member")

    private fun phaseOf(id: String) = cluster.ask(nodes.last().address, "GET", "/v1/jobs/$id")?.json?.string("stage")

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
    fun `jobs complete while their machines move between shards, and no task runs twice or is lost`() {
        start(machines = 6, taskMs = 6_000)
        for (team in 0..2) submit("wk-00000$team", team, tasks = 12)
        await("tasks run") { cluster.services.workers.sumOf { it.activeTasks.size } >= 20 }
        for (round in 0..3) for (machine in 0 until 6) command("move", machineName(machine), "s${(machine + round + 1) % 3}").also { Thread.sleep(150) }
        await("all jobs are done") { (0..2).all { phaseOf("wk-00000$it") == "done" } }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
        val started = cluster.services.workers.flatMap { it.started }
        assertEquals(36, started.size, "starts: ${started.groupingBy { it }.eachCount().filterValues { it > 1 }}")
        await("no move is in progress") { command("show").second.lines().size == 3 }
    }

    @Test
    fun `a job waits for its predecessors in other shards, and is cancelled with them`() {
        start(machines = 6, taskMs = 2_000)
        submit("wk-000001", 0, 4)
        submit("wk-000002", 1, 4, "wk-000001")
        submit("wk-000003", 2, 2, "wk-000002")
        submit("wk-000011", 0, 4)
        submit("wk-000012", 1, 2, "wk-000011")
        submit("wk-000013", 2, 2, "wk-000012", "wk-000001")
        cluster.ask(nodes[1].address, "POST", "/v1/jobs/wk-000011/abort")
        assertEquals(listOf("withdrawn", "withdrawn"), listOf(phaseOf("wk-000012"), phaseOf("wk-000013")))
        await("the pipeline is done") {
            val hasStarted = started("wk-000002") > 0
            assertTrue(!hasStarted || phaseOf("wk-000001") == "done", "started before its predecessor in another shard was done")
            phaseOf("wk-000003") == "done"
        }
        assertEquals(listOf(4, 2, 0, 0), listOf("wk-000002", "wk-000003", "wk-000012", "wk-000013").map(::started))
        await("the cancellation is recorded") { readStore("/store/${Keys.final("wk-000013")}")["data"].asMap()?.string("stage") == "withdrawn" }
    }

    private fun started(job: String) =
        cluster.services.workers
            .flatMap { it.started }
            .count { it.job == job }

    @Test
    fun `jobs and moves complete although a controller is restarted during the moves`() {
        start(machines = 6, taskMs = 5_000)
        for (team in 0..2) submit("wk-00001$team", team, tasks = 16)
        await("tasks run") { cluster.services.workers.sumOf { it.activeTasks.size } >= 20 }
        for (machine in 0 until 6) command("move", machineName(machine), "s${(machine + 1) % 3}")
        cluster.restart(nodes[1])
        for (machine in 0 until 6) command("move", machineName(machine), "s${(machine + 2) % 3}")
        await("all jobs are done") { (0..2).all { phaseOf("wk-00001$it") == "done" } }
        await("no move is in progress") { command("show").second.lines().size == 3 }
    }

    @Test
    fun `another controller leads the shard of a stopped one, which leads it again after a restart`() {
        // Without a floor the other shards give it their idle machines while it lacks capacity.
        shards = shards.map { it.copy(floor = 1) }
        start(machines = 3, taskMs = 4_000)
        submit("wk-000021", 1, tasks = 12)
        nodes[1].stop()
        cluster.services.controllers = listOf(nodes[0].address, nodes[2].address)
        await("another controller leads its shard") { Regex("s1: 1 machines, led by plot-[02]").containsMatchIn(command("show").second) }
        await("its job is done") { phaseOf("wk-000021") == "done" }
        cluster.restart(nodes[1])
        await("it leads its shard again") { "s1: 1 machines, led by plot-1" in command("show").second }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
    }

    @Test
    fun `a drained controller transfers its shard to another without losing a task, and leads it again once resumed`() {
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
        await("another controller leads its shard") { Regex("s1: 1 machines, led by plot-[02]").containsMatchIn(command("show").second) }
        assertTrue("plot-1: drained, leads nothing" in command("show").second)
        await("its job is done") { phaseOf("wk-000031") == "done" }
        assertEquals(8, cluster.services.workers.sumOf { it.started.size }, "starts")
        val json = command("show", json = true).second
        assertEquals(emptyList<Error>(), schema.validate(json, InputFormat.JSON))
        assertTrue("""{"controller":"plot-1","leads":[]}""" in json)
        assertEquals(0 to "done", command("drain", "plot-0"))
        assertEquals(1 to "refused: no other controller would be left", command("drain", "plot-2"))
        assertEquals(0 to "done", command("resume", "plot-1"))
        assertEquals(1 to "refused: it is not drained", command("resume", "plot-1"))
        await("it leads its shard again") { "s1: 1 machines, led by plot-1" in command("show").second }
        await("only the two controllers that are not drained lead") { !Regex("led by (plot-0|nobody)").containsMatchIn(command("show").second) }
        assertEquals(0, cluster.services.workers.sumOf { it.sim.tasksLostWithLease }, "tasks lost with a lease")
    }

    @Test
    fun `no shard is led while a controller without sharding leads or has left unfinished work, and it does not lead while shards are led`() {
        cluster.start(machines = 1, taskMs = 15_000)
        val unsharded = cluster.startController("plot-7")
        await("the controller without sharding leads all machines") { leaderAt(LeaderKeys()) != null }
        assertEquals(201, cluster.ask(unsharded.address, "POST", "/v1/jobs", job("wk-000041", 0, tasks = 1).replace("team0", "floor"))?.status)
        await("its job runs") {
            cluster.services.workers[0]
                .activeTasks
                .isNotEmpty()
        }
        val sharding = ShardingSettings(listOf(ShardSettings("all", "plot-0", listOf("floor", "small"))))
        nodes = listOf(cluster.startController("plot-0") { it.copy(operator = it.operator.copy(sharding = sharding)) })
        Thread.sleep(3_000)
        assertEquals(null, leaderAt(LeaderKeys("all")), "the controller without sharding still leads")
        unsharded.stop()
        await("the lease of the stopped controller has expired") { leaderAt(LeaderKeys()) == null }
        Thread.sleep(7_000)
        assertEquals(null, leaderAt(LeaderKeys("all")), "a round record of the stopped controller remains")
        val restarted = cluster.restart(unsharded)
        await("its job is done") { cluster.ask(restarted.address, "GET", "/v1/jobs/wk-000041")?.json?.string("stage") == "done" }
        await("none of its round records remains") { readStore("/store?starts=${LeaderKeys().rounds}&most=1")["entries"].asList().isNullOrEmpty() }
        restarted.stop()
        await("the shard is led") { leaderAt(LeaderKeys("all")) != null }
        val late = cluster.restart(restarted)
        await("the controller without sharding is ready, since it has found that shards are led") { cluster.ask(late.address, "GET", "/ready")?.status == 200 }
        Thread.sleep(3_000)
        assertEquals("(shares)", leaderAt(LeaderKeys()))
        assertEquals(1 to "refused: plot-0 leads a share; stop all controllers first", command("unshare"))
        nodes.single().stop()
        await("no controller leads the shard") { leaderAt(LeaderKeys("all")) == null }
        assertEquals(0 to "done", command("unshare"))
        await("a controller without sharding leads all machines again") { leaderAt(LeaderKeys()) == "plot-7" }
        assertEquals(1 to "refused: machines are not shared", command("unshare"))
    }

    @Test
    fun `the command shows owners, and refuses invalid requests with a reason`() {
        start(machines = 3, taskMs = 3_000)
        // A controller that starts much later than the others leads its shard only once it has been up for a while.
        await("every home leads its shard") { shards.all { leaderAt(LeaderKeys(it.name)) == it.home } }
        assertEquals(0 to "s0: 1 machines, led by plot-0\ns1: 1 machines, led by plot-1\ns2: 1 machines, led by plot-2", command("show"))
        assertEquals(0 to machineName(1), command("show", "s1"))
        assertEquals(1 to "refused: unknown share", command("show", "s9"))
        assertEquals(1 to "refused: unknown machine", command("move", "m-9", "s1"))
        assertEquals(1 to "refused: unknown share", command("move", machineName(0), "s9"))
        assertEquals(1 to "refused: the target owns it already", command("move", machineName(0), "s0"))
        assertEquals(1 to "refused: it is not moving", command("cancel", machineName(0)))
        assertEquals(null, command("move").first)
        assertEquals(0 to "done", command("move", machineName(0), "s1"))
        await("the machine has moved") { "s1: 2 machines" in command("show").second }
        assertTrue("s0: 0 machines" in command("show").second)
    }
}
