package mintfield.app.warmup

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.Controller
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpServer
import mintfield.io.http.HttpStatus
import mintfield.io.http.Response
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import mintfield.io.settings.SettingsFile
import java.io.File
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.channels.AsynchronousChannelGroup

/**
 * The training run for the build's class-data archive: two controllers on loopback elect a leader and serve users and a worker. Then both
 * are replaced, and the successor that becomes leader replays the stored state. Classes that the run does not use are loaded from the jar at
 * run time, which takes milliseconds for each class on a small controller, mostly during a failover.
 */
class WarmUp {
    private val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    private val store = InMemoryStore(loop)
    private val worker = WarmUpWorker()
    private val ports = List(PORTS) { ServerSocket(0).use { it.localPort } }

    /** Blocks for some seconds until the run is complete. Leaves the successors running, so the caller must end the process. */
    fun run() {
        loop.start()
        loop.post {
            startServer(ports[STORE]) { store.handle(it) }
            startServer(ports[CLOUD]) { cloud(it) }
            startServer(ports[WORKER]) { worker.handleCommands(it) }
        }
        val first = start(FIRST)
        val second = start(SECOND)
        loop.post { scope.launch { serveUsers() } }
        Thread.sleep(SERVE_MS)
        first.stop()
        second.stop()
        // The successors find the leader key, the jobs and the rounds of their predecessors.
        start(FIRST)
        start(SECOND)
        Thread.sleep(FAILOVER_MS)
    }

    private fun startServer(
        port: Int,
        handler: suspend (HttpMessage) -> Response,
    ) = HttpServer(loop, scope, group, MAX_CONNECTIONS, handler).start(InetSocketAddress(LOOPBACK, port))

    private fun start(controller: WarmUpController): Controller {
        val file = File.createTempFile("mintfield", ".toml")
        file.deleteOnExit()
        file.writeText(settings(controller))
        val node = Controller(SettingsFile.read(file.path))
        Thread({ node.run() }, controller.name).also { it.isDaemon = true }.start()
        return node
    }

    private suspend fun serveUsers() {
        delay(ELECTION_MS)
        scope.launch { heartbeats(FIRST) }
        scope.launch { heartbeats(SECOND) }
        for (controller in listOf(FIRST, SECOND)) {
            val client = client(controller)
            call(client, "GET", "/ready")
            for ((id, tasks) in TASKS_BY_JOB) call(client, "POST", "/v1/jobs", jobJson(id, tasks))
            call(client, "GET", "/v1/jobs/wk-000001")
            call(client, "GET", "/v1/jobs/wk-999999")
            call(client, "POST", "/v1/jobs/wk-000002/abort")
            delay(POLL_MS)
            call(client, "GET", "/v1/jobs/wk-000001")
            call(client, "GET", "/v1/jobs/wk-000002")
        }
    }

    /** Sends heartbeats as a worker does. The controller that does not lead relays them to the leader. */
    private suspend fun heartbeats(controller: WarmUpController) {
        val client = client(controller)
        while (true) {
            val result = client.call("POST", "/checkin", worker.heartbeat(ports[WORKER]), CALL_TIMEOUT_MS)
            if (result is HttpResult.Received && result.status == HttpStatus.OK) worker.execute(result.json)
            delay(HEARTBEAT_INTERVAL_MS)
        }
    }

    private fun client(controller: WarmUpController) = HttpClient(loop, group, InetSocketAddress(LOOPBACK, ports[controller.clientPort]), 1)

    private suspend fun call(
        client: HttpClient,
        method: String,
        path: String,
        body: String? = null,
    ) = client.call(method, path, body?.toByteArray(), CALL_TIMEOUT_MS)

    private fun cloud(request: HttpMessage): Response {
        val path = request.path.substringBefore('?')
        return when {
            path == "/machine_types" -> Response(HttpStatus.OK, MACHINE_TYPES.toByteArray())
            path == "/rentals" && request.method == "GET" -> Response(HttpStatus.OK, """{"plots":[${machineJson()}],"hasNext":false}""".toByteArray())
            path == "/rentals" -> Response.error(HttpStatus.SERVICE_UNAVAILABLE, "no capacity")
            else -> Response(HttpStatus.OK, "{}".toByteArray())
        }
    }

    private fun machineJson() =
        """{"id":"${WarmUpWorker.MACHINE}","address":"$LOOPBACK:${ports[WORKER]}","breed":"box","field":"a","gleaning":false,
        "stage":"running","heldS":9.5}"""

    private class WarmUpController(
        val name: String,
        val clientPort: Int,
        val peerPort: Int,
    )

    private fun settings(controller: WarmUpController): String {
        val peer = if (controller === FIRST) SECOND else FIRST
        return """
        member = "${controller.name}"
        zone = "a"
        client_listen = "$LOOPBACK:${ports[controller.clientPort]}"
        internal_addr = "$LOOPBACK:${ports[controller.peerPort]}"
        [[siblings]]
        member = "${peer.name}"
        zone = "a"
        address = "$LOOPBACK:${ports[peer.peerPort]}"
        [outside]
        cloud = "$LOOPBACK:${ports[CLOUD]}"
        state = "$LOOPBACK:${ports[STORE]}"
        $PARAMS
        """
    }

    private companion object {
        const val LOOPBACK = "127.0.0.1"
        const val MAX_CONNECTIONS = 64

        /** Indices in the list of ports. */
        const val STORE = 0
        const val CLOUD = 1
        const val WORKER = 2
        const val PORTS = 7
        val FIRST = WarmUpController("a", 3, 4)
        val SECOND = WarmUpController("b", 5, 6)

        /** The wait for the first election, after which requests are sent. */
        const val ELECTION_MS = 800L

        /** The wait before the states of jobs are polled. */
        const val POLL_MS = 400L
        const val CALL_TIMEOUT_MS = 900L
        const val HEARTBEAT_INTERVAL_MS = 150L

        /** The duration of the run with the first two controllers. */
        const val SERVE_MS = 4_000L

        /** The duration of the run with their successors. */
        const val FAILOVER_MS = 3_500L

        const val MACHINE_TYPES =
            """{"breeds":[{"sku":"box","vcpus":8.0,"cards":0.0,"memoryGb":64.0,"cacheGb":50.0,"fetchGbPerS":1.0,"price":1.0,
            "lowPrice":0.3,"bootS":30.0,"fields":["a"]}]}"""

        /** The number of tasks of each job, by its id. The last job is too large to end before the failover. */
        val TASKS_BY_JOB = mapOf("wk-000001" to 12, "wk-000002" to 12, "wk-000003" to 900)

        fun jobJson(
            id: String,
            tasks: Int,
        ) = """{"id":"$id","bench":"c","crew":"t","shape":"sweep","urgency":"normal","pieces":$tasks,"vcpus":1.0,"cards":0.0,
            "memoryGb":1.0,"seedbag":"i","sizeGb":1.0,"breeds":null,"field":null,"samePlace":false,"spread":false,"gleaning":true,
            "growS":10.0,"harvestS":0.0,"baleS":0.0,"dueS":60.0}"""

        const val PARAMS = """
        [params]
        zones = ["a"]
        [[params.teams]]
        name = "t"
        cpus = 0.0
        cpus_max = 0.0
        gpus = 0.0
        gpus_max = 0.0
        [[params.objectives]]
        kind = "deadline"
        class = "c"
        times = 1.0
        share = 0.9
        [params.workers]
        report_s = 1.0
        lease_s = 10.0
        cancel_s = 40.0
        [params.state]
        rps = 200.0
        write_rps = 100.0
        value_kb = 8.0
        txn_ops = 16
        [params.cloud]
        rps = 4.0
        list_lag_s = 5.0
        [params.resources]
        cpu = 0.255
        ram_mb = 181.0
        max_sockets = 600
        """
    }
}
