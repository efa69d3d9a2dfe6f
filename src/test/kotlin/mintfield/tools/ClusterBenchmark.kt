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
 * Three real controllers over loopback with a fleet of loopback workers: an election, a replay of 10,000 jobs, steady work, a lost leader
 * and a moment at which all heartbeats come at once. A tool that is run by hand, not a test; see docs/fleet-size.md.
 */
private class ClusterBenchmark(
    private val machines: Int,
    private val maxSockets: Int,
    heap: String,
) {
    private val folder = File("target/load").also { it.mkdirs() }
    private val services = LoopbackServices()
    private val runLine = runLine(heap)
    private val ports = List(6) { Ports.next() }
    private val controllers: List<ControllerProcess>

    init {
        services.heartbeatIntervalMs = HEARTBEAT_MS
        services.start(machines, TASK_MS, overMs = HEARTBEAT_MS)
        controllers = MEMBERS.indices.map(::controller)
    }

    private fun runLine(heap: String): List<String> {
        val line =
            File("deploy/service.toml")
                .readLines()
                .first { it.startsWith("run") }
                .substringAfter('"')
                .substringBeforeLast('"')
        return line.replace(Regex("-Xmx\\S+"), "-Xmx$heap").split(' ')
    }

    private fun controller(number: Int): ControllerProcess {
        val file = File(folder, "${MEMBERS[number]}.toml")
        val requests = AtomicLong()
        val statePort =
            services.serveStore { request ->
                requests.incrementAndGet()
                services.store.handle(request)
            }
        file.writeText(settings(number, statePort))
        val operator = File(folder, "fleet.hcl").also { it.writeText("fleet {\n  machines = $machines\n}\n") }
        val command = runLine.dropLast(1) + listOf("--operator", operator.path, "--config", file.path)
        return ControllerProcess(MEMBERS[number], ports[number * 2], command, File(folder, "${MEMBERS[number]}.log"), requests)
    }

    private fun settings(
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
            val spec = Fixtures.spec("wk-%06d".format(i), tasks = TASKS, image = "img-${i % IMAGES}")
            services.store.forcePut(Keys.live(spec.id), String(JobRecordCodec.encode(Fixtures.accepted(spec, 0, System.currentTimeMillis()))))
        }
        println("$machines machines, $JOBS jobs of $TASKS tasks, max_sockets $maxSockets")
        val from = System.nanoTime()
        controllers.forEach { it.start() }
        services.addressesByName = controllers.associate { it.member to InetSocketAddress("127.0.0.1", it.clientPort) }
        services.controllers = services.addressesByName.values.toList()
        await("a leader has replayed") { controllers.any { it.logged("replayed ") } }
        println("  started, elected and replayed after %.1f s".format(since(from)))
        await("all workers have a lease from a leader") { services.workers.all { it.sim.term > 0 } }
        println("  all workers renewed after %.1f s".format(since(from)))
        await("most slots are taken") { tasks() > machines * SLOTS * FULL }
        println("  nine in ten slots taken after %.1f s".format(since(from)))
        steady()
        allAtOnce()
        loseLeader()
        println(
            "  leases that expired: ${services.workers.sumOf {
                it.sim.incarnation - 1
            }}; tasks lost with them: ${services.workers.sumOf { it.sim.tasksLostWithLease }}",
        )
        controllers.forEach { it.kill() }
        services.loop.stop()
    }

    private fun tasks() = services.workers.sumOf { it.activeTasks.size }

    private fun steady() {
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
                }}: %.2f of a core, %d MB, %d descriptors, %.1f store requests a second"
                    .format(cores, controller.residentMb(), controller.descriptors(), requests),
            )
        }
        println("  tasks on machines: ${tasks()} of ${machines * SLOTS}")
    }

    /** No worker sends heartbeats for half a lease, then all do. */
    private fun allAtOnce() {
        val incarnations = services.workers.sumOf { it.sim.incarnation }
        val cpu = controllers.associateWith { it.cpuS() }
        services.heartbeatsPaused = true
        Thread.sleep(PAUSE_MS)
        services.heartbeatsPaused = false
        Thread.sleep(AFTER_PAUSE_MS)
        val spent = controllers.maxOf { it.cpuS() - cpu.getValue(it) }
        println(
            "  all heartbeats at once after ${PAUSE_MS / 1000} s of silence: %d leases expired, %.1f s of processor time at the busiest in ${AFTER_PAUSE_MS / 1000} s"
                .format(services.workers.sumOf { it.sim.incarnation } - incarnations, spent),
        )
    }

    private fun loseLeader() {
        val leader = controllers.first { it.logged("leading with term") }
        val term = services.workers.maxOf { it.sim.term }
        val incarnations = services.workers.sumOf { it.sim.incarnation }
        val from = System.nanoTime()
        leader.kill()
        services.controllers = services.controllers.filter { it.port != leader.clientPort }
        await("a worker has a lease from the next leader") { services.workers.any { it.sim.term > term } }
        println("  leader lost: first worker renewed by the next after %.1f s".format(since(from)))
        await("another has replayed") { controllers.any { it !== leader && it.logged("replayed ") } }
        println("  next leader has replayed after %.1f s".format(since(from)))
        await("all workers have a lease from the next leader") { services.workers.all { it.sim.term > term } }
        println("  all workers renewed after %.1f s; leases expired: ${services.workers.sumOf { it.sim.incarnation } - incarnations}".format(since(from)))
        for (controller in controllers.filter {
            it !== leader
        }) {
            println("  ${controller.member}: ${controller.residentMb()} MB, ${controller.descriptors()} descriptors")
        }
    }

    private fun since(from: Long) = (System.nanoTime() - from) / 1e9

    private fun await(
        what: String,
        condition: () -> Boolean,
    ) {
        val until = System.nanoTime() + AWAIT_S * 1_000_000_000L
        while (!condition()) {
            check(System.nanoTime() < until) { "in $AWAIT_S s it did not come about that $what" }
            Thread.sleep(AWAIT_STEP_MS)
        }
    }

    private companion object {
        val MEMBERS = listOf("plot-0", "plot-1", "plot-2")
        const val JOBS = 10_000
        const val TASKS = 8
        const val IMAGES = 12
        const val SLOTS = 4
        const val FULL = 0.9
        const val HEARTBEAT_MS = 1_000L
        const val TASK_MS = 25_000L
        const val STEADY_MS = 15_000L
        const val PAUSE_MS = 5_000L
        const val AFTER_PAUSE_MS = 5_000L
        const val AWAIT_S = 40
        const val AWAIT_STEP_MS = 20L
    }
}

/** Arguments: number of machines, `max_sockets` of each controller, and its heap, such as `4000 8000 160m`. */
fun main(args: Array<String>) {
    ClusterBenchmark(args[0].toInt(), args[1].toInt(), args.getOrElse(2) { "100m" }).run()
    kotlin.system.exitProcess(0)
}
