package mintfield.standin

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.core.model.Order
import mintfield.core.model.TaskId
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
import java.util.TreeMap

/** Store, cloud and workers by the protocol's page, on loopback, all on one event loop of their own. */
class StandIns {
    val loop = EventLoop()
    private val scope = loop.scope()
    private val group = AsynchronousChannelGroup.withThreadPool(loop.executor)
    val store = Store()
    val workers = ArrayList<Worker>()
    private val ports = CompletableDeferred<Unit>()
    var storePort = 0
    var cloudPort = 0

    @Volatile var nodes: List<InetSocketAddress> = emptyList()

    fun start(machines: Int) {
        loop.start()
        val ready = java.util.concurrent.CountDownLatch(1)
        loop.post {
            storePort = serve { store.handle(it) }
            cloudPort = serve { cloud(it) }
            repeat(machines) { workers.add(Worker("m-%06d".format(it))) }
            ready.countDown()
        }
        ready.await()
    }

    private fun serve(handler: suspend (HttpMessage) -> Response): Int {
        val server = HttpServer(loop, scope, group, 100, handler)
        server.start(InetSocketAddress("127.0.0.1", 0))
        return server.port
    }

    /** Calls to a node, all at once, from outside the loop. */
    fun calls(
        node: InetSocketAddress,
        method: String,
        path: String,
        bodies: List<String>,
    ): List<Reply> {
        val answers = bodies.map { java.util.concurrent.CompletableFuture<Reply>() }
        loop.post {
            bodies.forEachIndexed { i, body ->
                scope.launch { answers[i].complete(HttpClient(loop, group, node, 0).call(method, path, body.toByteArray(), 5_000)) }
            }
        }
        return answers.map { it.get() }
    }

    /** A call to a node, from outside the loop. */
    fun call(
        node: InetSocketAddress,
        method: String,
        path: String,
        body: String? = null,
    ): Reply {
        val answer = java.util.concurrent.CompletableFuture<Reply>()
        loop.post {
            scope.launch { answer.complete(HttpClient(loop, group, node, 0).call(method, path, body?.toByteArray(), 5_000)) }
        }
        return answer.get()
    }

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

    /** The key-value store: revisions, guards, leases, watches. */
    inner class Store {
        private inner class Item(
            val data: Any?,
            val mark: Long,
            val lease: Long?,
        )

        private val items = TreeMap<String, Item>()
        private val log = ArrayList<Triple<Long, String, Any?>>()
        private val leases = HashMap<Long, Long>()
        private var revision = 1L
        private var nextLease = 1L
        private var changed = CompletableDeferred<Unit>()

        @Volatile var down = false

        /** Gives no answer at all, as if it were behind a cut. */
        @Volatile var silent = false

        /** Submissions that one transaction may hold; a larger one is refused as too many. */
        @Volatile var mostSubmissions = Int.MAX_VALUE

        /** Puts [json] under [key], whatever the rules. */
        fun plant(
            key: String,
            json: String,
        ) {
            val done = java.util.concurrent.CountDownLatch(1)
            loop.post {
                change(key, Json.parse(json.toByteArray()), null, ++revision)
                done.countDown()
            }
            done.await()
        }

        suspend fun handle(r: HttpMessage): Response {
            expire()
            if (down) return Response.error(503, "trouble")
            while (silent) delay(50)
            val path = r.second.substringBefore('?')
            val query =
                r.second
                    .substringAfter('?', "")
                    .split('&')
                    .associate { it.substringBefore('=') to it.substringAfter('=') }
            return when {
                path == "/txn" -> txn(Json.parseObject(r.body)!!)
                path == "/watch" -> watch(query)
                path == "/leases" -> {
                    leases[nextLease] = loop.nowMs() + Json.parseObject(r.body)!!.long("lifeMs")!!
                    ok("""{"tenancy":${nextLease++}}""")
                }
                path.startsWith("/leases/") -> lease(r.first, path.split('/')[2].toLong())
                path == "/store" -> list(query)
                else -> {
                    val key = path.removePrefix("/store/")
                    val item = items[key] ?: return Response(404, """{"ledger":$revision}""".toByteArray())
                    ok("""{"k":"$key","data":${text(item.data)},"mark":${item.mark},"tenancy":${item.lease}}""")
                }
            }
        }

        private fun ok(body: String) = Response(200, body.toByteArray())

        private fun expire() {
            val now = loop.nowMs()
            leases
                .filter { it.value < now }
                .keys
                .toList()
                .forEach(::end)
        }

        private fun end(lease: Long) {
            leases.remove(lease)
            items
                .filter { it.value.lease == lease }
                .keys
                .toList()
                .forEach { change(it, null, null, ++revision) }
        }

        private fun lease(
            method: String,
            id: Long,
        ): Response {
            if (id !in leases) return Response.error(404, "no such lease")
            if (method == "DELETE") end(id) else leases[id] = loop.nowMs() + 3_500
            return ok("{}")
        }

        private fun change(
            key: String,
            data: Any?,
            lease: Long?,
            at: Long,
        ) {
            if (data == null) items.remove(key) else items[key] = Item(data, at, lease)
            log.add(Triple(at, key, data))
            changed.complete(Unit)
            changed = CompletableDeferred()
        }

        private fun txn(body: Map<String, Any?>): Response {
            val failed =
                body["guards"]
                    .asList()
                    .orEmpty()
                    .map { it.asMap()!! }
                    .filter { g -> (items[g.string("k")]?.mark ?: 0) != g.long("mark") }
            if (failed.isNotEmpty()) {
                val names = failed.joinToString(",") { "\"${it.string("k")}\"" }
                return Response(409, """{"failed":[$names],"ledger":$revision}""".toByteArray())
            }
            val writes = body["writes"].asList().orEmpty().map { it.asMap()!! }
            val keys = writes.map { it.string("write") ?: it.string("delete") }
            if (keys.toSet().size < keys.size) return Response.error(400, "a key is written twice")
            if (writes.any { w -> w.long("tenancy")?.let { it !in leases } == true }) return Response.error(400, "no such lease")
            if (writes.count { "/l/" in it.string("write").orEmpty() } > mostSubmissions) return Response.error(429, "too many")
            if (writes.isNotEmpty()) revision++
            for (w in writes) {
                w.string("write")?.let { change(it, w["data"], w.long("tenancy"), revision) }
                    ?: change(w.string("delete")!!, null, null, revision)
            }
            return ok("""{"ledger":$revision}""")
        }

        private suspend fun watch(query: Map<String, String>): Response {
            val after = query.getValue("after").toLong()
            val prefix = query.getValue("starts")

            fun news() = log.filter { it.first > after && it.second.startsWith(prefix) }
            withTimeoutOrNull(query.getValue("waitMs").toLong()) {
                while (news().isEmpty()) withTimeoutOrNull(200) { changed.await() } ?: expire()
            }
            val entries =
                news().joinToString(",") { (mark, key, data) ->
                    if (data == null) """{"delete":"$key","mark":$mark}""" else """{"write":"$key","data":${text(data)},"mark":$mark}"""
                }
            return ok("""{"ledger":$revision,"log":[$entries]}""")
        }

        private fun list(query: Map<String, String>): Response {
            val found = items.entries.filter { it.key.startsWith(query.getValue("starts")) && it.key > (query["after"] ?: "") }
            val page = found.take(query.getValue("most").toInt())
            val entries = page.joinToString(",") { """{"k":"${it.key}","data":${text(it.value.data)},"mark":${it.value.mark}}""" }
            return ok("""{"entries":[$entries],"hasNext":${found.size > page.size},"ledger":$revision}""")
        }

        private fun text(value: Any?): String =
            when (value) {
                is Map<*, *> -> value.entries.joinToString(",", "{", "}") { "\"${it.key}\":${text(it.value)}" }
                is List<*> -> value.joinToString(",", "[", "]") { text(it) }
                is String -> "\"$value\""
                else -> value.toString()
            }
    }

    /** A worker on loopback; its behaviour is that of the simulation's. */
    inner class Worker(
        id: String,
    ) {
        val started = ArrayList<TaskId>()
        val sim = SimWorker(id, "north", false, loop.nowMs(), 10_000) { _, task -> started.add(task) }
        val port = serve { r -> commands(r) }

        @Volatile var present: List<TaskId> = emptyList()
        private var at = 0

        init {
            scope.launch { report() }
        }

        private fun commands(r: HttpMessage): Response {
            val body = Json.parseObject(r.body)!!
            val orders = orders(body)
            val accepted = body.long("staff")!! >= sim.term && body.long("season") == sim.season
            val report = sim.commanded(body.long("staff")!!, body.long("season")!!, orders)!!
            return Response(if (accepted) 200 else 409, json(report))
        }

        private fun orders(body: Map<String, Any?>): List<Order> =
            body["orders"].asList().orEmpty().map { it.asMap()!! }.map { o ->
                val task = TaskId.parse(o.string("piece")!!)!!
                when (o.string("verb")) {
                    "run" -> Order.Run(task, o.long("sowing")!!)
                    "halt" -> Order.Halt(task, o.long("sowing")!!, 0.0)
                    else -> Order.Clear(task, o.long("sowing")!!)
                }
            }

        private suspend fun report() {
            while (true) {
                delay(300)
                sim.step(loop.nowMs())
                present = sim.present()
                val node = nodes.getOrNull(at % maxOf(1, nodes.size)) ?: continue
                val sentAt = loop.nowMs()
                val season = sim.season
                val reply = HttpClient(loop, group, node, 0).call("POST", "/checkin", json(sim.report()), 2_000)
                if (reply is Reply.Answer && reply.status == 200) {
                    sim.answered(reply.json.long("staff")!!, orders(reply.json), sentAt, season)
                } else {
                    at++
                }
            }
        }

        private fun json(r: mintfield.core.model.Report): ByteArray =
            Json.obj {
                writeStringField("plot", r.machine)
                writeStringField("address", "127.0.0.1:$port")
                writeStringField("breed", r.type)
                writeStringField("field", r.zone)
                writeBooleanField("gleaning", r.spot)
                writeNumberField("season", r.season)
                writeNumberField("tally", r.tally)
                writeNumberField("staff", r.termSeen)
                writeArrayFieldStart("pieces")
                for (t in r.tasks) {
                    writeStartObject()
                    writeStringField("piece", t.task.toString())
                    writeNumberField("sowing", t.attempt)
                    writeStringField("stage", t.state.name.lowercase())
                    t.cause?.let { writeStringField("cause", it.name.lowercase()) }
                    writeEndObject()
                }
                writeEndArray()
            }
    }
}
