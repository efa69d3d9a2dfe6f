package mintfield.core.ownership

import mintfield.Fixtures
import mintfield.core.CommitResult
import mintfield.core.HeartbeatResponse
import mintfield.core.Scheduler
import mintfield.core.model.JobSpec
import mintfield.core.model.TaskState
import mintfield.core.model.Team
import mintfield.core.model.WorkerCommand
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Which machines the shard "a" transfers to the shards "b" and "c". */
class RebalancerTest {
    private val settings = Fixtures.settings.copy(teams = listOf(Team("a-team", 0.0, 0.0, 0.0, 0.0), Team("limited", 0.0, 6.0, 0.0, 0.0)))
    private val everywhere = listOf("north", "south").flatMap { listOf(MachineKind("box", it, false), MachineKind("box", it, true)) }.toSet()
    private val live = hashSetOf("a", "b", "c")
    private var spare = 10
    private val reportedLoads = HashMap<String, ShardLoad>()
    private val weights = HashMap<String, Double>()
    private var now = 100_000L
    private var sequence = 1L
    private var revision = 30L

    private val shards =
        object : Shards {
            override fun isKnown(shard: String) = true

            override fun isLive(shard: String) = shard in live

            override fun spare(shard: String) = spare
        }
    private val loads =
        object : ShardLoads {
            override fun load(shard: String) = reportedLoads[shard]

            override fun weight(shard: String) = weights[shard] ?: 1.0
        }
    private val machines = (0 until 12).map { "m-$it" }
    private val table = AssignmentTable()

    init {
        machines
            .groupBy(AssignmentTable::blockOf)
            .forEach { (block, names) -> table.apply(block, AssignmentBlock(5, names.associateWith { Assignment.Owned("a") })) }
        table.caughtUp(5)
    }

    private val scheduler = Scheduler(settings, 10, { false }, ShardOwnership("a", table) { null }) { }
    private val rebalancer = Rebalancer("a", scheduler.cluster, table, shards, loads)
    private val running = HashMap<String, MutableList<WorkerCommand.Start>>()

    init {
        scheduler.fleet.machineTypesRead(listOf(Fixtures.box), now)
        scheduler.zoneFencing.recordsRead()
        scheduler.replay.complete(now)
        heartbeat()
        heartbeat()
    }

    private fun heartbeat() {
        sequence++
        for (id in machines) {
            val tasks = running[id].orEmpty().map { Fixtures.task("${it.task.job}/${it.task.index}", it.attempt, TaskState.RUNNING) }
            val response = scheduler.heartbeat(Fixtures.heartbeat(id, sequence, 10, *tasks.toTypedArray()), true, now)
            val commands = (response as HeartbeatResponse.Commands).commands
            running.getOrPut(id) { ArrayList() }.addAll(commands.filterIsInstance<WorkerCommand.Start>())
        }
    }

    /** Advances time by [ms], with heartbeats, commits and rebalancing every 500 ms. */
    private fun advance(ms: Long) {
        val until = now + ms
        while (now < until) {
            now += 500
            scheduler.nextCommit(now, now, 16)?.let { scheduler.committed(it, CommitResult.Done(20), now) }
            heartbeat()
            rebalancer.transfers(now, emptyList())
        }
    }

    private fun submit(spec: JobSpec) = scheduler.jobChanged(Fixtures.accepted(spec, 6), now)

    private fun job(
        id: String,
        tasks: Int,
        team: String = "a-team",
        zone: String? = null,
    ) = Fixtures.spec(id, tasks = tasks, team = team, zone = zone)

    private fun transfers(): Map<String, String> {
        now += 2_000
        heartbeat()
        return rebalancer.transfers(now, listOf("a", "b", "c")).associate { it.machine to it.target }
    }

    /** Writes the order to move [machine] to "b", and includes the machine in the load reported by "b". */
    private fun writeOrder(machine: String) {
        val block = table.blockWith(machine, Assignment.Releasing("a", "b"))!!
        table.apply(AssignmentTable.blockOf(machine), AssignmentBlock(++revision, block))
        val load = reportedLoads.getValue("b")
        reportedLoads["b"] = load.copy(ownedCpus = load.ownedCpus + 4.0, shortCpus = load.shortCpus - 4.0)
        now += 7_000
    }

    private fun short(
        cpus: Double,
        owned: Double = 8.0,
        of: Set<MachineKind> = everywhere,
    ) = ShardLoad(owned, owned + cpus, cpus, 1.0, of)

    @Test
    fun `transfers idle machines to the shard with the largest deficit, one at a time, and to none without a leader`() {
        transfers()
        now += 5_000
        assertEquals(emptyMap<String, String>(), transfers(), "no shard has a deficit")
        reportedLoads["b"] = short(5.0)
        reportedLoads["c"] = short(7.0)
        assertEquals(setOf("c"), transfers().values.toSet())
        assertEquals(emptyList<MachineTransfer>(), rebalancer.transfers(now, listOf("b")), "too soon after the last")
        assertEquals(listOf("b"), transfers().values.toList(), "the pending transfer to c is counted")
        live.remove("b")
        live.remove("c")
        now += 10_000
        assertEquals(emptyMap<String, String>(), transfers())
        live.add("b")
        spare = 0
        assertEquals(emptyMap<String, String>(), transfers(), "at the floor")
    }

    @Test
    fun `transfers a machine only where a waiting task fits on it`() {
        transfers()
        now += 6_000
        reportedLoads["b"] = short(5.0, of = setOf(MachineKind("box", "south", false), MachineKind("huge", "north", false)))
        assertEquals(emptyMap<String, String>(), transfers(), "all machines are in the north")
        reportedLoads["c"] = short(1.0)
        assertEquals(listOf("c"), transfers().values.toList())
    }

    @Test
    fun `the deficit of a shard counts waiting tasks that fit on none of its machines, but no tasks beyond the quota of their team`() {
        val meter = LoadMeter(scheduler.cluster)
        submit(job("wk-1", tasks = 48))
        assertEquals(0.0, meter.measure().shortCpus, "48 CPUs are free")
        submit(job("wk-2", tasks = 3, zone = "south"))
        assertEquals(3.0, meter.measure().shortCpus)
        assertEquals(setOf("south"), meter.measure().shortOf.mapTo(HashSet()) { it.zone })
        submit(job("wk-3", tasks = 50, team = "limited"))
        assertEquals(9.0, meter.measure().shortCpus, "six CPUs of its team's limit")
        assertEquals(57.0, meter.measure().wantedCpus)
        submit(job("wk-4", tasks = 50, team = "limited"))
        assertEquals(9.0, meter.measure().shortCpus, "two jobs of one team")
    }

    @Test
    fun `keeps an idle machine that its own waiting tasks fit on, and transfers a machine that they do not fit on`() {
        transfers()
        now += 6_000
        reportedLoads["b"] = short(5.0, owned = 20.0)
        submit(job("wk-2", tasks = 3, zone = "south"))
        assertEquals(listOf("b"), transfers().values.toList())
        submit(job("wk-3", tasks = 60))
        now += 6_000
        assertEquals(emptyMap<String, String>(), transfers())
    }

    @Test
    fun `while all shards have a deficit, machines in use move until each shard has its fair share by weight, and then none`() {
        submit(job("wk-1", tasks = 60))
        advance(25_000)
        reportedLoads["b"] = short(40.0, owned = 40.0)
        assertEquals(emptyMap<String, String>(), transfers(), "48 and 40 CPUs are within the tolerance of the fair share")
        weights["a"] = 1.0
        weights["b"] = 3.0
        val moved = (1..20).flatMap { transfers().keys.onEach(::writeOrder) }
        assertEquals(5, moved.size, "b then has 60 CPUs of 88; its fair share is 66")
        assertTrue(
            moved.all {
                scheduler.cluster.machines
                    .getValue(it)
                    .inUse
            },
            "they are moved with their tasks",
        )
    }

    @Test
    fun `a shard with a long deficit gets a machine with free capacity even if no machine is idle`() {
        submit(job("wk-1", tasks = 46))
        advance(25_000)
        assertEquals(
            46,
            scheduler.cluster.jobs
                .getValue("wk-1")
                .activeAttempts.size,
        )
        reportedLoads["b"] = short(2.0)
        assertEquals(emptyMap<String, String>(), transfers())
        val given = (1..16).flatMap { transfers().keys }
        assertEquals(
            listOf(2.0),
            given.map {
                scheduler.cluster.machines
                    .getValue(it)
                    .freeCpus
            },
        )
    }
}
