package mintfield.app.warmup

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.Controller
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpServer
import mintfield.io.http.Reply
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.loop.EventLoop
import mintfield.io.loop.scope
import mintfield.io.settings.SettingsFile
import java.io.File
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.channels.AsynchronousChannelGroup

/**
 * The training run for the build's class-data archive: two controllers on loopback elect a leader, serve users and a worker,
 * and one of them is replaced by a process that replays. What this run does not reach is loaded from the jar at run time, which
 * on a small controller costs milliseconds for each class, most of them in a failover.
 */
class WarmUp {
    private val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    private val store = InMemoryStateService(loop)
    private val worker = WarmUpWorker()
    private val ports = List(PORTS) { ServerSocket(0).use { it.localPort } }

    /** Runs to its end, in some seconds; the caller ends the process. */
    fun run() {
        loop.start()
        loop.post {
            serve(ports[STORE]) { store.handle(it) }
            serve(ports[CLOUD]) { cloud(it) }
            serve(ports[WORKER]) { worker.commands(it) }
        }
        val first = start(FIRST)
        val second = start(SECOND)
        loop.post { scope.launch { use() } }
        Thread.sleep(USE_MS)
        first.stop()
        second.stop()
        // The successors find the leader key, the jobs and the rounds of the processes before them.
        start(FIRST)
        start(SECOND)
        Thread.sleep(TAKE_OVER_MS)
    }

    private fun serve(
        port: Int,
        handler: suspend (HttpMessage) -> Response,
    ) = HttpServer(loop, scope, group, CONNECTIONS, handler).start(InetSocketAddress(LOOPBACK, port))

    private fun start(member: Member): Controller {
        val file = File.createTempFile("mintfield", ".toml")
        file.deleteOnExit()
        file.writeText(settings(member))
        val node = Controller(SettingsFile.read(file.path))
        Thread({ node.run() }, member.name).also { it.isDaemon = true }.start()
        return node
    }

    private suspend fun use() {
        delay(ELECTION_MS)
        scope.launch { heartbeats(FIRST) }
        scope.launch { heartbeats(SECOND) }
        for (member in listOf(FIRST, SECOND)) {
            val client = client(member)
            call(client, "GET", "/ready")
            for ((id, tasks) in JOBS) call(client, "POST", "/v1/jobs", job(id, tasks))
            call(client, "GET", "/v1/jobs/wk-000001")
            call(client, "GET", "/v1/jobs/wk-999999")
            call(client, "POST", "/v1/jobs/wk-000002/abort")
            delay(POLL_MS)
            call(client, "GET", "/v1/jobs/wk-000001")
            call(client, "GET", "/v1/jobs/wk-000002")
        }
    }

    /** Reports as a worker sends them; the controller that does not lead relays them. */
    private suspend fun heartbeats(member: Member) {
        val client = client(member)
        while (true) {
            val reply = client.call("POST", "/checkin", worker.heartbeat(ports[WORKER]), CALL_MS)
            if (reply is Reply.Answer && reply.status == OK) worker.execute(reply.json)
            delay(REPORT_MS)
        }
    }

    private fun client(member: Member) = HttpClient(loop, group, InetSocketAddress(LOOPBACK, ports[member.clientPort]), 1)

    private suspend fun call(
        client: HttpClient,
        method: String,
        path: String,
        body: String? = null,
    ) = client.call(method, path, body?.toByteArray(), CALL_MS)

    private fun cloud(request: HttpMessage): Response {
        val path = request.second.substringBefore('?')
        return when {
            path == "/machine_types" -> Response(OK, TYPES.toByteArray())
            path == "/rentals" && request.first == "GET" -> Response(OK, """{"plots":[${listed()}],"hasNext":false}""".toByteArray())
            path == "/rentals" -> Response.error(UNAVAILABLE, "no capacity")
            else -> Response(OK, "{}".toByteArray())
        }
    }

    private fun listed() =
        """{"id":"${WarmUpWorker.MACHINE}","address":"$LOOPBACK:${ports[WORKER]}","breed":"box","field":"a","gleaning":false,
        "stage":"running","heldS":9.5}"""

    private class Member(
        val name: String,
        val clientPort: Int,
        val peerPort: Int,
    )

    private fun settings(member: Member): String {
        val peer = if (member === FIRST) SECOND else FIRST
        return """
        member = "${member.name}"
        zone = "a"
        client_listen = "$LOOPBACK:${ports[member.clientPort]}"
        internal_addr = "$LOOPBACK:${ports[member.peerPort]}"
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
        const val OK = 200
        const val UNAVAILABLE = 503
        const val CONNECTIONS = 64

        /** Indices of the ports in use. */
        const val STORE = 0
        const val CLOUD = 1
        const val WORKER = 2
        const val PORTS = 7
        val FIRST = Member("a", 3, 4)
        val SECOND = Member("b", 5, 6)

        /** Milliseconds: an election, a poll, a call's patience, between heartbeats, and the two parts of the run. */
        const val ELECTION_MS = 800L
        const val POLL_MS = 400L
        const val CALL_MS = 900L
        const val REPORT_MS = 150L
        const val USE_MS = 4_000L
        const val TAKE_OVER_MS = 3_500L

        const val TYPES =
            """{"breeds":[{"sku":"box","vcpus":8.0,"cards":0.0,"memoryGb":64.0,"cacheGb":50.0,"fetchGbPerS":1.0,"price":1.0,
            "lowPrice":0.3,"bootS":30.0,"fields":["a"]}]}"""

        /** Jobs by number: the last is too large to end before the failover. */
        val JOBS = mapOf("wk-000001" to 12, "wk-000002" to 12, "wk-000003" to 900)

        fun job(
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

/** A worker whose tasks end after some reports, enough to drive every step of a job. */
private class WarmUpWorker {
    private class Task(
        val id: String,
        val attempt: Long,
    ) {
        var heartbeats = 0
    }

    private var sequence = 0L
    private var termSeen = 0L
    private val tasks = LinkedHashMap<String, Task>()

    fun execute(answer: Map<String, Any?>) {
        termSeen = maxOf(termSeen, answer.long("staff") ?: 0)
        for (order in answer["orders"].asList().orEmpty().mapNotNull { it.asMap() }) {
            val id = order.string("piece") ?: continue
            if (order.string("verb") == "run") tasks[id] = Task(id, order.long("sowing") ?: 0) else tasks.remove(id)
        }
    }

    fun commands(request: HttpMessage): Response {
        execute(Json.parseObject(request.body).orEmpty())
        return Response(OK, heartbeat(0))
    }

    fun heartbeat(port: Int): ByteArray {
        sequence++
        return Json.obj {
            writeStringField("plot", MACHINE)
            writeStringField("address", "127.0.0.1:$port")
            writeStringField("breed", "box")
            writeStringField("field", "a")
            writeBooleanField("gleaning", false)
            writeNumberField("season", 1)
            writeNumberField("tally", sequence)
            writeNumberField("staff", termSeen)
            writeNullField("reclaimS")
            writeArrayFieldStart("pieces")
            for (task in tasks.values) {
                writeStartObject()
                writeStringField("piece", task.id)
                writeNumberField("sowing", task.attempt)
                writeStringField("stage", if (++task.heartbeats < ENDS_AFTER) "running" else "ended")
                if (task.heartbeats >= ENDS_AFTER) writeStringField("cause", "done")
                writeEndObject()
            }
            writeEndArray()
        }
    }

    companion object {
        const val MACHINE = "m-000001"
        private const val OK = 200

        /** Heartbeats of a task until it has ended. */
        private const val ENDS_AFTER = 4
    }
}
