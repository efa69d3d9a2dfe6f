package mintfield.tools

import mintfield.Fixtures
import mintfield.io.store.JobRecordCodec
import mintfield.io.store.Keys
import mintfield.loopback.LoopbackServices
import mintfield.loopback.Ports
import java.io.File
import java.net.InetSocketAddress
import java.util.concurrent.atomic.AtomicLong

/**
 * Benchmark of three real controllers over loopback with a fleet of loopback workers: election, replay of 10,000 jobs, steady state, a burst
 * of all heartbeats at once, and the loss of the leader. Run by hand, not a test; see docs/fleet-size.md.
 */
private class ClusterBenchmark(
    private val machines: Int,
    private val maxSockets: Int,
    heap: String,
) {
    private val outputDir = File("target/load").also { it.mkdirs() }
    private val services = LoopbackServices()
    private val controllerCommand = readControllerCommand(heap)
    private val ports = List(6) { Ports.next() }
    private val controllers: List<ControllerProcess>

    init {
        services.heartbeatIntervalMs = HEARTBEAT_INTERVAL_MS
        services.start(machines, TASK_MS, startupSpreadMs = HEARTBEAT_INTERVAL_MS)
        controllers = MEMBERS.indices.map(::createController)
    }

    private fun readControllerCommand(heap: String): List<String> {
        val line =
            File("deploy/service.toml")
                .readLines()
                .first { it.startsWith("run") }
                .substringAfter('"')
                .substringBeforeLast('"')
        return line.replace(Regex("-Xmx\\S+"), "-Xmx$heap").split(' ')
    }

    private fun createController(number: Int): ControllerProcess {
        val file = File(outputDir, "${MEMBERS[number]}.toml")
        val requests = AtomicLong()
        val statePort =
            services.serveStore { request ->
                requests.incrementAndGet()
                services.store.handle(request)
            }
        file.writeText(settingsToml(number, statePort))
        val operator = File(outputDir, "fleet.hcl").also { it.writeText("fleet {\n  machines = $machines\n}\n") }
        val command = controllerCommand.dropLast(1) + listOf("--operator", operator.path, "--config", file.path)
        return ControllerProcess(MEMBERS[number], ports[number * 2], command, File(outputDir, "${MEMBERS[number]}.log"), requests)
    }

    private fun settingsToml(
        number: Int,
        statePort: Int,
    ) = buildString {
        appendLine("member = \"${MEMBERS[number]}\"\nzone = \"north\"")
        appendLine("client_listen = \"127.0.0.1:${ports[number * 2]}\"\ninternal_addr = \"127.0.0.1:${ports[number * 2 + 1]}\"")
        for (other in MEMBERS.indices.filter { it != number }) {
            appendLine("[[siblings]]\nmember = \"${MEMBERS[other]}\"\nzone = \"north\"\naddress = \"127.0.0.1:${ports[other * 2 + 1]}\"")
        }
        appendLine("[outside]\ncloud = \"127.0.0.1:${services.cloudPort}\"\nstate = \"127.0.0.1:$statePort\"")
        appendLine("[params]\nzones = [\"north\"]")
        appendLine("[[params.teams]]\nname = \"floor\"\ncpus = 0.0\ncpus_max = 0.0\ngpus = 0.0\ngpus_max = 0.0")
        appendLine("[params.workers]\nreport_s = 1.0\nlease_s = 10.0\ncancel_s = 40.0")
        appendLine("[params.state]\nrps = 200.0\nwrite_rps = 30.0\nvalue_kb = 32.0\ntxn_ops = 20")
        appendLine("[params.cloud]\nrps = 5.0\nlist_lag_s = 3.0")
        appendLine("[params.resources]\nmax_sockets = $maxSockets")
    }

    fun run() {
        repeat(JOBS) { i ->
            val spec = Fixtures.spec("wk-%06d".format(i), tasks = TASKS_PER_JOB, image = "img-${i % IMAGES}")
            services.store.forcePut(Keys.live(spec.id), String(JobRecordCodec.encode(Fixtures.accepted(spec, 0, System.currentTimeMillis()))))
        }
        println("$machines machines, $JOBS jobs of $TASKS_PER_JOB tasks, max_sockets $maxSockets")
        val startNanos = System.nanoTime()
        controllers.forEach { it.start() }
        services.addressesByName = controllers.associate { it.member to InetSocketAddress("127.0.0.1", it.clientPort) }
        services.controllers = services.addressesByName.values.toList()
        await("a leader has replayed") { controllers.any { it.logged("replayed ") } }
        println("  started, elected and replayed after %.1f s".format(secondsSince(startNanos)))
        await("all workers have a lease from a leader") { services.workers.all { it.sim.term > 0 } }
        println("  all workers have a lease after %.1f s".format(secondsSince(startNanos)))
        await("most slots are occupied") { runningTasks() > machines * SLOTS_PER_MACHINE * OCCUPIED_FRACTION }
        println("  90%% of the slots occupied after %.1f s".format(secondsSince(startNanos)))
        measureSteadyState()
        measureHeartbeatBurst()
        measureFailover()
        println(
            "  leases that expired: ${services.workers.sumOf {
                it.sim.incarnation - 1
            }}; tasks lost with them: ${services.workers.sumOf { it.sim.tasksLostWithLease }}",
        )
        controllers.forEach { it.kill() }
        services.loop.stop()
    }

    private fun runningTasks() = services.workers.sumOf { it.activeTasks.size }

    private fun measureSteadyState() {
        val cpu = controllers.associateWith { it.cpuS() }
        val requestsBefore = controllers.associateWith { it.requests.get() }
        Thread.sleep(STEADY_MS)
        for (controller in controllers) {
            val cores = (controller.cpuS() - cpu.getValue(controller)) / (STEADY_MS / 1000.0)
            val requests = (controller.requests.get() - requestsBefore.getValue(controller)) / (STEADY_MS / 1000.0)
            println(
                "  ${controller.member}${if (controller.logged(
                        "leading with term",
                    )
                ) {
                    " (has led)"
                } else {
                    ""
                }}: %.2f cores, %d MB, %d descriptors, %.1f store requests/s"
                    .format(cores, controller.residentMb(), controller.descriptors(), requests),
            )
        }
        println("  tasks on machines: ${runningTasks()} of ${machines * SLOTS_PER_MACHINE}")
    }

    /** Pauses the heartbeats of all workers for half a lease, then resumes all at once. */
    private fun measureHeartbeatBurst() {
        val incarnations = services.workers.sumOf { it.sim.incarnation }
        val cpu = controllers.associateWith { it.cpuS() }
        services.heartbeatsPaused = true
        Thread.sleep(PAUSE_MS)
        services.heartbeatsPaused = false
        Thread.sleep(AFTER_PAUSE_MS)
        val spent = controllers.maxOf { it.cpuS() - cpu.getValue(it) }
        println(
            "  all heartbeats at once after a pause of ${PAUSE_MS / 1000} s: %d leases expired, %.1f s of maximum CPU time per controller in ${AFTER_PAUSE_MS / 1000} s"
                .format(services.workers.sumOf { it.sim.incarnation } - incarnations, spent),
        )
    }

    private fun measureFailover() {
        val leader = controllers.first { it.logged("leading with term") }
        val term = services.workers.maxOf { it.sim.term }
        val incarnations = services.workers.sumOf { it.sim.incarnation }
        val startNanos = System.nanoTime()
        leader.kill()
        services.controllers = services.controllers.filter { it.port != leader.clientPort }
        await("a worker has a lease from the next leader") { services.workers.any { it.sim.term > term } }
        println("  leader lost: first lease from the next leader after %.1f s".format(secondsSince(startNanos)))
        await("another controller has replayed") { controllers.any { it !== leader && it.logged("replayed ") } }
        println("  next leader has replayed after %.1f s".format(secondsSince(startNanos)))
        await("all workers have a lease from the next leader") { services.workers.all { it.sim.term > term } }
        println(
            "  all workers have a lease after %.1f s; leases expired: ${services.workers.sumOf { it.sim.incarnation } - incarnations}".format(
                secondsSince(startNanos),
            ),
        )
        for (controller in controllers.filter {
            it !== leader
        }) {
            println("  ${controller.member}: ${controller.residentMb()} MB, ${controller.descriptors()} descriptors")
        }
    }

    private fun secondsSince(startNanos: Long) = (System.nanoTime() - startNanos) / 1e9

    private fun await(
        description: String,
        condition: () -> Boolean,
    ) {
        val deadlineNanos = System.nanoTime() + AWAIT_TIMEOUT_S * 1_000_000_000L
        while (!condition()) {
            check(System.nanoTime() < deadlineNanos) { "condition not met within $AWAIT_TIMEOUT_S s: $description" }
            Thread.sleep(POLL_INTERVAL_MS)
        }
    }

    private companion object {
        val MEMBERS = listOf("plot-0", "plot-1", "plot-2")
        const val JOBS = 10_000
        const val TASKS_PER_JOB = 8
        const val IMAGES = 12
        const val SLOTS_PER_MACHINE = 4
        const val OCCUPIED_FRACTION = 0.9
        const val HEARTBEAT_INTERVAL_MS = 1_000L
        const val TASK_MS = 25_000L
        const val STEADY_MS = 15_000L
        const val PAUSE_MS = 5_000L
        const val AFTER_PAUSE_MS = 5_000L
        const val AWAIT_TIMEOUT_S = 40
        const val POLL_INTERVAL_MS = 20L
    }
}

/** Arguments: number of machines, `max_sockets` per controller, and heap size per controller, for example `4000 8000 160m`. */
fun main(args: Array<String>) {
    ClusterBenchmark(args[0].toInt(), args[1].toInt(), args.getOrElse(2) { "100m" }).run()
    kotlin.system.exitProcess(0)
}
