package mintfield.standin

import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import mintfield.app.warmup.InMemoryStateService
import mintfield.core.model.ExitReason
import mintfield.core.model.TaskId
import mintfield.core.model.TaskState
import mintfield.core.model.WorkerCommand
import mintfield.history.AcceptedToken
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
import mintfield.sim.SimWorker
import java.net.InetSocketAddress
import java.nio.channels.AsynchronousChannelGroup
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue

/** Store, cloud and workers by the protocol's page, on loopback, all on one event loop of their own. */
class StandIns {
    val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    val store = InMemoryStateService(loop)
    val workers = ArrayList<Worker>()
    var storePort = 0
    var cloudPort = 0

    @Volatile var nodes: List<InetSocketAddress> = emptyList()

    /** Where the controllers are, by name: a worker that is sent to one by name goes there. */
    @Volatile var members: Map<String, InetSocketAddress> = emptyMap()

    /** Milliseconds between two heartbeats of a worker. */
    @Volatile var reportMs = 300L

    /** While true no worker reports. */
    @Volatile var reportsHeld = false

    /** Tokens that workers accepted, in the order of acceptance. */
    val accepted = ConcurrentLinkedQueue<AcceptedToken>()

    /** When tasks were first seen completed, in steady nanoseconds. */
    val completedNanos = ConcurrentHashMap<TaskId, Long>()

    /** Starts all stand-ins, with workers whose tasks run for [taskMs] or, by their number, a little more. */
    fun start(
        machines: Int,
        taskMs: Long = USUAL_TASK_MS,
        /** Milliseconds over which the workers come up. */
        overMs: Long = 0,
    ) {
        loop.start()
        val ready = java.util.concurrent.CountDownLatch(1)
        loop.post {
            storePort = serve { store.handle(it) }
            cloudPort = serve { cloud(it) }
            repeat(machines) { workers.add(Worker("m-%06d".format(it), taskMs - USUAL_TASK_MS, it * overMs / machines)) }
            ready.countDown()
        }
        ready.await()
    }

    private fun serve(handler: suspend (HttpMessage) -> Response): Int {
        val server = HttpServer(loop, scope, group, 100, handler)
        server.start(InetSocketAddress("127.0.0.1", 0))
        return server.port
    }

    /** Serves the store by [handler] on an address of its own, and tells the port; from outside the loop. */
    fun serveState(handler: suspend (HttpMessage) -> Response): Int {
        val port = CompletableFuture<Int>()
        loop.post { port.complete(serve(handler)) }
        return port.get()
    }

    /** Sends a request to a node, from outside the loop. */
    fun send(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
        timeoutMs: Long = CALL_TIMEOUT_MS,
    ): CompletableFuture<Reply> {
        val answer = CompletableFuture<Reply>()
        loop.post {
            scope.launch { answer.complete(HttpClient(loop, group, node, 0).call(method, path, body?.toByteArray(), timeoutMs)) }
        }
        return answer
    }

    /** Calls to a node, all at once, from outside the loop. */
    fun calls(
        node: InetSocketAddress,
        method: String,
        path: String,
        bodies: List<String>,
    ): List<Reply> = bodies.map { send(node, method, path, it) }.map { it.get() }

    /** A call to a node, from outside the loop. */
    fun call(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): Reply = send(node, method, path, body).get()

    private fun cloud(r: HttpMessage): Response {
        val path = r.second.substringBefore('?')
        val body =
            when (path) {
                "/machine_types" ->
                    """{"breeds":[{"sku":"box","vcpus":4,"cards":0,"memoryGb":16,"cacheGb":50,"fetchGbPerS":1,"price":1,"lowPrice":0.5,
                       "bootS":1,"fields":["north"]}]}"""
                "/rentals" ->
                    if (r.first == "GET") {
                        """{"plots":[${workers.filter { it.sim.alive }.joinToString(",") {
                            """{"id":"${it.sim.id}","address":"127.0.0.1:${it.port}","breed":"box","field":"north","gleaning":false,"stage":"running","heldS":99}"""
                        }}],"hasNext":false}"""
                    } else {
                        return Response.error(503, "no capacity")
                    }
                else -> "{}"
            }
        return Response(200, body.toByteArray())
    }

    /** A worker on loopback; its behaviour is that of the simulation's. */
    inner class Worker(
        id: String,
        longerMs: Long,
        private val upAfterMs: Long,
    ) {
        val started = ArrayList<TaskId>()
        val sim = SimWorker(id, "north", false, loop.nowMs(), 10_000, longerMs, onStart = { _, task -> started.add(task) })
        val port = serve { r -> commands(r) }

        @Volatile var present: List<TaskId> = emptyList()
        private var at = 0
        private val clients = HashMap<InetSocketAddress, HttpClient>()

        init {
            scope.launch { heartbeat() }
        }

        private fun commands(r: HttpMessage): Response {
            val body = Json.parseObject(r.body)!!
            val commands = commands(body)
            val accepted = body.long("staff")!! >= sim.term && body.long("season") == sim.incarnation
            if (accepted) note(body.long("staff")!!, commands)
            val heartbeat = sim.commanded(body.long("staff")!!, body.long("season")!!, commands)!!
            return Response(if (accepted) 200 else 409, json(heartbeat))
        }

        private fun commands(body: Map<String, Any?>): List<WorkerCommand> =
            body["orders"].asList().orEmpty().map { it.asMap()!! }.map { o ->
                val task = TaskId.parse(o.string("piece")!!)!!
                when (o.string("verb")) {
                    "run" -> WorkerCommand.Start(task, o.long("sowing")!!)
                    "halt" -> WorkerCommand.Stop(task, o.long("sowing")!!, 0.0)
                    else -> WorkerCommand.Acknowledge(task, o.long("sowing")!!)
                }
            }

        private suspend fun heartbeat() {
            delay(upAfterMs)
            while (true) {
                delay(reportMs)
                sim.step(loop.nowMs())
                present = sim.activeTasks()
                noteCompleted()
                val node = nodes.getOrNull(at % maxOf(1, nodes.size)) ?: continue
                if (reportsHeld) continue
                val sentAt = loop.nowMs()
                val incarnation = sim.incarnation
                val reply = clients.getOrPut(node) { HttpClient(loop, group, node, 1) }.call("POST", "/checkin", json(sim.heartbeat()), REPORT_TIMEOUT_MS)
                if (reply is Reply.Answer && reply.status == 200) {
                    val commands = commands(reply.json)
                    if (reply.json.long("staff")!! >= sim.term && incarnation == sim.incarnation) note(reply.json.long("staff")!!, commands)
                    sim.answered(reply.json.long("staff")!!, commands, sentAt, incarnation)
                } else {
                    sentOn(reply)
                }
            }
        }

        /** Goes on at the controller that the answer names, or else at the next one. */
        private fun sentOn(reply: Reply) {
            val named = (reply as? Reply.Answer)?.json?.string("steward")?.let { nodes.indexOf(members[it]) } ?: -1
            at = if (named >= 0) named else at + 1
        }

        private fun note(
            token: Long,
            commands: List<WorkerCommand>,
        ) {
            accepted.add(AcceptedToken(sim.id, token, System.nanoTime(), commands.filterIsInstance<WorkerCommand.Stop>().map { it.task.job }))
        }

        private fun noteCompleted() {
            val now = System.nanoTime()
            sim.tasks
                .filterValues { it.exitReason == ExitReason.DONE }
                .keys
                .forEach { completedNanos.putIfAbsent(it, now) }
        }

        private fun json(r: mintfield.core.model.Heartbeat): ByteArray =
            Json.obj {
                writeStringField("plot", r.machine)
                writeStringField("address", "127.0.0.1:$port")
                writeStringField("breed", r.type)
                writeStringField("field", r.zone)
                writeBooleanField("gleaning", r.spot)
                writeNumberField("season", r.incarnation)
                writeNumberField("tally", r.sequence)
                writeNumberField("staff", r.termSeen)
                writeArrayFieldStart("pieces")
                for (t in r.tasks) {
                    writeStartObject()
                    writeStringField("piece", t.task.toString())
                    writeNumberField("sowing", t.attempt)
                    writeStringField("stage", STATE_WORDS.getValue(t.state))
                    t.cause?.let { writeStringField("cause", CAUSE_WORDS.getValue(it)) }
                    writeEndObject()
                }
                writeEndArray()
            }
    }

    private companion object {
        /** Milliseconds that a user waits for an answer, as in PROTOCOL. */
        const val CALL_TIMEOUT_MS = 5_000L

        /** Milliseconds that a worker waits for the answer to its heartbeat. */
        const val REPORT_TIMEOUT_MS = 2_000L

        /** Milliseconds that a task of the simulation's worker runs, at the least. */
        const val USUAL_TASK_MS = 3_000L

        /** The protocol's words, kept apart from those of the codec that is tested against them. */
        val STATE_WORDS =
            mapOf(
                TaskState.PULLING to "pulling",
                TaskState.RUNNING to "running",
                TaskState.CHECKPOINTING to "saving",
                TaskState.ENDED to "ended",
            )
        val CAUSE_WORDS =
            mapOf(
                ExitReason.DONE to "done",
                ExitReason.STOPPED to "stopped",
                ExitReason.ERROR to "error",
                ExitReason.INSUFFICIENT_RESOURCES to "no_room",
                ExitReason.ALREADY_RUNNING to "in_use",
                ExitReason.UNKNOWN_TASK to "no_such",
                ExitReason.GANG_INCOMPLETE to "mates_gone",
                ExitReason.UNKNOWN to "unknown",
            )
    }
}
