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
 * Stress run of three controllers over loopback. Machines move between shards every few seconds while users submit, poll and cancel, and controllers
 * restart, freeze, drain and lose the store. The assignments written, the tokens accepted and the responses to users are recorded and checked at the end.
 * Run by hand, not a test; see docs/sharing.md.
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
    private val faultCounts = HashMap<String, Int>()

    @Volatile private var controllers: List<TestController> = emptyList()

    @Volatile private var stopRequested = false

    fun run() {
        cluster.start(machines, TASK_MS)
        cluster.services.store.onChange = ::recordChange
        for ((block, numbers) in (0 until machines).groupBy { AssignmentTable.blockOf(machineId(it)) }) {
            val content = numbers.associate { machineId(it) to Assignment.Owned("s${it % members.size}") }
            cluster.services.store.forcePut(Keys.assignments(block), String(AssignmentCodec.write(content)))
        }
        controllers =
            cluster.startPeers(*members.toTypedArray()) { s ->
                s.copy(
                    teams = sharding.shards.map { Team(it.teams.single(), 0.0, 0.0, 0.0, 0.0) },
                    operator = s.operator.copy(sharding = sharding),
                    maxSockets = MAX_SOCKETS,
                )
            }
        val startNanos = System.nanoTime()
        val traffic = List(USERS) { user -> thread(name = "user-$user") { runUser(Random(user)) } }
        val mover = thread { moveMachines(Random(runMs)) }
        while (System.nanoTime() - startNanos < runMs * NANOS_PER_MS) {
            Thread.sleep(random.nextLong(FAULT_INTERVAL_MS / 2, FAULT_INTERVAL_MS * 3 / 2))
            injectFault()
        }
        stopRequested = true
        (traffic + mover).forEach { it.join() }
        cluster.faults.chooseFault = { _, _ -> null }
        controllers.forEach(cluster::awaitReady)
        val unfinished = awaitFinalStates()
        printFindings(unfinished)
        cluster.stop()
    }

    private fun machineId(number: Int) = "m-%06d".format(number)

    private fun recordChange(
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

    // ---- load and faults ----

    private fun runUser(random: Random) {
        while (!stopRequested) {
            val id = "wk-%06d".format(jobNumber.incrementAndGet())
            val tasks = random.nextInt(1, MAX_TASKS)
            tasksOf[id] = tasks
            val team = "team${random.nextInt(members.size)}"
            retryUntil { users.submit(controllers.random(random), id, tasks, "sweep", team).get() != JobResponse.Indeterminate }
            if (random.nextInt(5) == 0) {
                Thread.sleep(random.nextLong(100, 4_000))
                cancelled.add(id)
                retryUntil { users.cancel(controllers.random(random), id).get() != JobResponse.Indeterminate }
            } else {
                Thread.sleep(random.nextLong(100, 1_000))
                users.poll(controllers.random(random), id).get()
            }
        }
    }

    private fun retryUntil(done: () -> Boolean) {
        while (!done()) Thread.sleep(RETRY_MS)
    }

    private fun moveMachines(random: Random) {
        val loop = EventLoop().also { it.start() }
        val ready = java.util.concurrent.CompletableFuture<OperatorCommands>()
        loop.post {
            val settings = controllers.first().settings.copy(stateAddress = "127.0.0.1:${cluster.services.storePort}")
            ready.complete(OperatorCommands(sharding, members, ExternalServices(settings, loop, AsynchronousChannelGroup.withThreadPool(loop.executor)).store))
        }
        val operatorCommands = ready.get()
        while (!stopRequested) {
            Thread.sleep(random.nextLong(MOVE_INTERVAL_MS / 2, MOVE_INTERVAL_MS * 3 / 2))
            repeat(machines / 10) {
                val machine = machineId(random.nextInt(machines))
                val target = "s${random.nextInt(members.size)}"
                loop.post { loop.scope().launch { if (random.nextInt(12) == 0) operatorCommands.cancel(machine) else operatorCommands.move(machine, target) } }
                commands.incrementAndGet()
            }
        }
        loop.stop()
    }

    private fun injectFault() {
        val controller = controllers.random(random)
        val kind = listOf("restarted", "frozen", "disconnected from the state service", "refused by the state service", "drained").random(random)
        faultCounts.merge(kind, 1, Int::plus)
        when (kind) {
            "restarted" -> controllers = controllers.map { if (it === controller) cluster.restart(controller) else it }
            "drained" -> drain(controller)
            "frozen" -> controller.freeze(random.nextLong(500, 8_000))
            else -> {
                val fault = if (kind.startsWith("disconnected")) StoreFault.LostRequest else StoreFault.Refused(503)
                cluster.faults.chooseFault = { client, _ -> if (client == controller.member) fault else null }
                Thread.sleep(random.nextLong(1_000, 12_000))
                cluster.faults.chooseFault = { _, _ -> null }
            }
        }
    }

    private fun drain(controller: TestController) {
        val command = MachinesCommand(controller.settings.copy(stateAddress = "127.0.0.1:${cluster.services.storePort}"), sharding) { }
        command.run(MachinesRequest.Drain(controller.member))
        Thread.sleep(random.nextLong(1_000, 20_000))
        command.run(MachinesRequest.Resume(controller.member))
    }

    // ---- evaluation ----

    /** Waits until every job has a final state, for at most [FINISH_TIMEOUT_MS]; returns the jobs that have none. */
    private fun awaitFinalStates(): List<String> {
        var unfinished = tasksOf.keys.toList()
        val deadlineNanos = System.nanoTime() + FINISH_TIMEOUT_MS * NANOS_PER_MS
        while (unfinished.isNotEmpty() && System.nanoTime() < deadlineNanos) {
            unfinished = unfinished.filter { id -> (users.poll(controllers.random(random), id).get() as? JobResponse.Observed)?.phase !in FINAL_PHASES }
            Thread.sleep(RETRY_MS)
        }
        return unfinished
    }

    private fun printFindings(unfinished: List<String>) {
        val accepted = cluster.services.accepted.toList()
        val written = assignments.toList()
        val violations = HistoryChecker(::completedNanos).check(users.history)
        val ownership = OwnershipChecker(written, terms.toList()).check(accepted)
        val moves = completedMoves(written, accepted)
        val stops = accepted.flatMap { it.stoppedJobs }.filter { it !in cancelled }
        val started = cluster.services.workers.flatMap { it.started }
        val unique = started.toSet()
        println("${runMs / 1000} s, $machines machines, ${tasksOf.size} jobs, ${unique.size} tasks started; faults: $faultCounts")
        println("  jobs without a final state: ${unfinished.size} ${unfinished.take(5)}; user history: ${violations.size} violations ${violations.take(3)}")
        println("  ownership: ${ownership.size} violations ${ownership.take(3)}")
        println(
            "  move and cancel commands ${commands.get()}, moves ${moves.size}; assignment writes ${assignmentWrites.get()}, %.2f per move".format(
                assignmentWrites.get() * 1.0 / moves.size,
            ),
        )
        println("  ordered to adopted, ms: ${summary(moves.map { it.adoptedNanos - it.orderedNanos })}")
        println("  offered to adopted, ms: ${summary(moves.map { it.adoptedNanos - it.offeredNanos })}")
        println("  offered to the first command of the new owner, ms: ${summary(moves.mapNotNull { m -> m.firstCommandNanos?.let { it - m.offeredNanos } })}")
        println("  attempts beyond one per task: ${started.size - unique.size}; tasks stopped without a cancellation: ${stops.size}")
        println(
            "  leases that expired: ${cluster.services.workers.sumOf {
                it.sim.incarnation - 1
            }}, tasks lost with them: ${cluster.services.workers.sumOf { it.sim.tasksLostWithLease }}",
        )
        OwnershipReport(written, moves, members.indices.map { "s$it" }).write("target/load/sharing.html")
    }

    private fun completedNanos(id: String): Long? {
        val times = (0 until tasksOf.getValue(id)).map { cluster.services.completedNanos[TaskId(id, it)] ?: return null }
        return times.max()
    }

    private fun summary(nanos: List<Long>): String {
        val sorted = nanos.sorted().map { it / NANOS_PER_MS }
        if (sorted.isEmpty()) return "none"
        return "min ${sorted.first()}, median ${sorted[sorted.size / 2]}, p99 ${sorted[sorted.size * 99 / 100]}, max ${sorted.last()}"
    }

    private companion object {
        val FINAL_PHASES = setOf(JobPhase.DONE, JobPhase.CANCELLED)
        const val NANOS_PER_MS = 1_000_000L
        const val TASK_MS = 4_000L
        const val USERS = 8
        const val MAX_TASKS = 12
        const val MOVE_INTERVAL_MS = 3_000L
        const val FAULT_INTERVAL_MS = 15_000L
        const val RETRY_MS = 300L
        const val FINISH_TIMEOUT_MS = 120_000L
        const val MAX_SOCKETS = 1_000
    }
}

/** Arguments: duration in seconds, number of machines, seed; by default 600, 60 and 1. */
fun main(args: Array<String>) {
    java.io.File("target/load").mkdirs()
    HandoverStressTool(args.getOrElse(0) { "600" }.toLong() * 1000, args.getOrElse(1) { "60" }.toInt(), args.getOrElse(2) { "1" }.toLong()).run()
    kotlin.system.exitProcess(0)
}
