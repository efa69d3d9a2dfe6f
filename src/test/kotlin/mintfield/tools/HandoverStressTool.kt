package mintfield.tools

import kotlinx.coroutines.launch
import mintfield.app.ExternalServices
import mintfield.app.cli.MachinesCommand
import mintfield.app.cli.MachinesRequest
import mintfield.app.sharding.OperatorCommands
import mintfield.core.model.JobPhase
import mintfield.core.model.TaskId
import mintfield.core.model.Team
import mintfield.core.ownership.Assignment
import mintfield.core.ownership.AssignmentTable
import mintfield.core.ownership.ShardSettings
import mintfield.core.ownership.ShardingSettings
import mintfield.history.AssignmentWritten
import mintfield.history.HistoryChecker
import mintfield.history.JobResponse
import mintfield.history.OwnershipChecker
import mintfield.history.TermStarted
import mintfield.history.completedMoves
import mintfield.io.json.asMap
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import mintfield.io.ownership.AssignmentCodec
import mintfield.io.store.Keys
import mintfield.loopback.RecordedUsers
import mintfield.loopback.StoreFault
import mintfield.loopback.TestCluster
import mintfield.loopback.TestController
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread
import kotlin.random.Random

/**
 * Three controllers over loopback whose machines move between shards every few seconds while users submit, poll and cancel, and controllers end, stand
 * still and lose the store. What was written, accepted and answered is recorded and judged at the end. A tool that is run by hand, not a test; see
 * docs/sharing.md.
 */
private class HandoverStressTool(
    private val runMs: Long,
    private val machines: Int,
    seed: Long,
) {
    private val random = Random(seed)
    private val cluster = TestCluster()
    private val members = listOf("plot-0", "plot-1", "plot-2")
    private val sharding = ShardingSettings(members.mapIndexed { i, home -> ShardSettings("s$i", home, listOf("team$i")) })
    private val users = RecordedUsers(cluster.services)
    private val assignments = ConcurrentLinkedQueue<AssignmentWritten>()
    private val terms = ConcurrentLinkedQueue<TermStarted>()
    private val tasksOf = ConcurrentHashMap<String, Int>()
    private val cancelled = ConcurrentHashMap.newKeySet<String>()
    private val jobNumber = AtomicInteger()
    private val commands = AtomicInteger()
    private val assignmentWrites = AtomicInteger()
    private val troubles = HashMap<String, Int>()

    @Volatile private var controllers: List<TestController> = emptyList()

    @Volatile private var over = false

    fun run() {
        cluster.start(machines, TASK_MS)
        cluster.services.store.onChange = ::recorded
        for ((block, numbers) in (0 until machines).groupBy { AssignmentTable.blockOf(named(it)) }) {
            val content = numbers.associate { named(it) to Assignment.Owned("s${it % members.size}") }
            cluster.services.store.forcePut(Keys.assignments(block), String(AssignmentCodec.write(content)))
        }
        controllers =
            cluster.startPeers(*members.toTypedArray()) { s ->
                s.copy(
                    teams = sharding.shards.map { Team(it.teams.single(), 0.0, 0.0, 0.0, 0.0) },
                    operator = s.operator.copy(sharding = sharding),
                    maxSockets = SOCKETS,
                )
            }
        val from = System.nanoTime()
        val traffic = List(USERS) { user -> thread(name = "user-$user") { useService(Random(user)) } }
        val shuffling = thread { shuffle(Random(runMs)) }
        while (System.nanoTime() - from < runMs * MS_NANOS) {
            Thread.sleep(random.nextLong(TROUBLE_EVERY_MS / 2, TROUBLE_EVERY_MS * 3 / 2))
            trouble()
        }
        over = true
        (traffic + shuffling).forEach { it.join() }
        cluster.faults.choose = { _, _ -> null }
        controllers.forEach(cluster::awaitReady)
        val left = finish()
        printFindings(left)
        cluster.stop()
    }

    private fun named(number: Int) = "m-%06d".format(number)

    private fun recorded(
        key: String,
        data: Any?,
        revision: Long,
    ) {
        if (key.startsWith("mf/s/") && key.endsWith("/leader") && data != null) terms.add(TermStarted(key.split('/')[2], revision))
        if (!key.startsWith(Keys.ASSIGNMENTS)) return
        if (key == Keys.DRAINED) return
        assignmentWrites.incrementAndGet()
        val now = System.nanoTime()
        AssignmentCodec.parse(data.asMap().orEmpty())!!.forEach { (machine, assignment) ->
            assignments.add(AssignmentWritten(machine, assignment, revision, now))
        }
    }

    // ---- what goes on ----

    private fun useService(own: Random) {
        while (!over) {
            val id = "wk-%06d".format(jobNumber.incrementAndGet())
            val tasks = own.nextInt(1, MOST_TASKS)
            tasksOf[id] = tasks
            val team = "team${own.nextInt(members.size)}"
            until { users.submit(controllers.random(own), id, tasks, "sweep", team).get() != JobResponse.Indeterminate }
            if (own.nextInt(5) == 0) {
                Thread.sleep(own.nextLong(100, 4_000))
                cancelled.add(id)
                until { users.cancel(controllers.random(own), id).get() != JobResponse.Indeterminate }
            } else {
                Thread.sleep(own.nextLong(100, 1_000))
                users.poll(controllers.random(own), id).get()
            }
        }
    }

    private fun until(done: () -> Boolean) {
        while (!done()) Thread.sleep(RETRY_MS)
    }

    private fun shuffle(own: Random) {
        val loop = EventLoop().also { it.start() }
        val ready = java.util.concurrent.CompletableFuture<OperatorCommands>()
        loop.post {
            val settings = controllers.first().settings.copy(stateAddress = "127.0.0.1:${cluster.services.storePort}")
            ready.complete(OperatorCommands(sharding, members, ExternalServices(settings, loop, AsynchronousChannelGroup.withThreadPool(loop.executor)).store))
        }
        val operatorCommands = ready.get()
        while (!over) {
            Thread.sleep(own.nextLong(SHUFFLE_MS / 2, SHUFFLE_MS * 3 / 2))
            repeat(machines / 10) {
                val machine = named(own.nextInt(machines))
                val target = "s${own.nextInt(members.size)}"
                loop.post { loop.scope().launch { if (own.nextInt(12) == 0) operatorCommands.cancel(machine) else operatorCommands.move(machine, target) } }
                commands.incrementAndGet()
            }
        }
        loop.stop()
    }

    private fun trouble() {
        val victim = controllers.random(random)
        val kind = listOf("ended", "stood still", "cut from the state service", "refused by the state service", "drained").random(random)
        troubles.merge(kind, 1, Int::plus)
        when (kind) {
            "ended" -> controllers = controllers.map { if (it === victim) cluster.restart(victim) else it }
            "drained" -> drain(victim)
            "stood still" -> victim.freeze(random.nextLong(500, 8_000))
            else -> {
                val fault = if (kind.startsWith("cut")) StoreFault.LostRequest else StoreFault.Refused(503)
                cluster.faults.choose = { client, _ -> if (client == victim.member) fault else null }
                Thread.sleep(random.nextLong(1_000, 12_000))
                cluster.faults.choose = { _, _ -> null }
            }
        }
    }

    private fun drain(victim: TestController) {
        val command = MachinesCommand(victim.settings.copy(stateAddress = "127.0.0.1:${cluster.services.storePort}"), sharding) { }
        command.run(MachinesRequest.Drain(victim.member))
        Thread.sleep(random.nextLong(1_000, 20_000))
        command.run(MachinesRequest.Resume(victim.member))
    }

    // ---- what is judged ----

    /** Waits until every job has its final state; returns those that have none. */
    private fun finish(): List<String> {
        var open = tasksOf.keys.toList()
        val until = System.nanoTime() + FINISH_MS * MS_NANOS
        while (open.isNotEmpty() && System.nanoTime() < until) {
            open = open.filter { id -> (users.poll(controllers.random(random), id).get() as? JobResponse.Observed)?.phase !in FINAL }
            Thread.sleep(RETRY_MS)
        }
        return open
    }

    private fun printFindings(left: List<String>) {
        val accepted = cluster.services.accepted.toList()
        val written = assignments.toList()
        val violations = HistoryChecker(::completed).check(users.history)
        val ownership = OwnershipChecker(written, terms.toList()).check(accepted)
        val moves = completedMoves(written, accepted)
        val stops = accepted.flatMap { it.stoppedJobs }.filter { it !in cancelled }
        val started = cluster.services.workers.flatMap { it.started }
        val unique = started.toSet()
        println("${runMs / 1000} s, $machines machines, ${tasksOf.size} jobs, ${unique.size} tasks started; troubles: $troubles")
        println("  jobs without a final state: ${left.size} ${left.take(5)}; users' history: ${violations.size} findings ${violations.take(3)}")
        println("  ownership: ${ownership.size} findings ${ownership.take(3)}")
        println(
            "  orders ${commands.get()}, moves ${moves.size}; assignment writes ${assignmentWrites.get()}, %.2f a move".format(
                assignmentWrites.get() * 1.0 / moves.size,
            ),
        )
        println("  order to adoption, ms: ${spread(moves.map { it.adoptedNanos - it.orderedNanos })}")
        println("  offered to adopted, ms: ${spread(moves.map { it.adoptedNanos - it.offeredNanos })}")
        println("  offered to the first command of the new owner, ms: ${spread(moves.mapNotNull { m -> m.firstCommandNanos?.let { it - m.offeredNanos } })}")
        println("  attempts beyond one a task: ${started.size - unique.size}; tasks stopped though not cancelled: ${stops.size}")
        println(
            "  leases that expired: ${cluster.services.workers.sumOf {
                it.sim.incarnation - 1
            }}, tasks lost with them: ${cluster.services.workers.sumOf { it.sim.tasksLostWithLease }}",
        )
        OwnershipReport(written, moves, members.indices.map { "s$it" }).write("target/load/sharing.html")
    }

    private fun completed(id: String): Long? {
        val times = (0 until tasksOf.getValue(id)).map { cluster.services.completedNanos[TaskId(id, it)] ?: return null }
        return times.max()
    }

    private fun spread(nanos: List<Long>): String {
        val sorted = nanos.sorted().map { it / MS_NANOS }
        if (sorted.isEmpty()) return "none"
        return "min ${sorted.first()}, median ${sorted[sorted.size / 2]}, p99 ${sorted[sorted.size * 99 / 100]}, max ${sorted.last()}"
    }

    private companion object {
        val FINAL = setOf(JobPhase.DONE, JobPhase.CANCELLED)
        const val MS_NANOS = 1_000_000L
        const val TASK_MS = 4_000L
        const val USERS = 8
        const val MOST_TASKS = 12
        const val SHUFFLE_MS = 3_000L
        const val TROUBLE_EVERY_MS = 15_000L
        const val RETRY_MS = 300L
        const val FINISH_MS = 120_000L
        const val SOCKETS = 1_000
    }
}

/** Arguments: seconds to run, number of machines, seed. */
fun main(args: Array<String>) {
    java.io.File("target/load").mkdirs()
    HandoverStressTool(args.getOrElse(0) { "600" }.toLong() * 1000, args.getOrElse(1) { "60" }.toInt(), args.getOrElse(2) { "1" }.toLong()).run()
    kotlin.system.exitProcess(0)
}
