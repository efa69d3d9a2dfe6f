package mintfield.app.warmup

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.io.http.HttpMessage
import mintfield.io.http.Response
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.loop.EventLoop
import java.util.TreeMap
import java.util.concurrent.CountDownLatch

/**
 * The store's protocol over a map in memory: revisions, guards, leases and watches. The training run of the class-data
 * archive and the tests use it; it keeps nothing and enforces no rates. To be called on [loop] only, but for [plant].
 */
class InMemoryStateService(
    private val loop: EventLoop,
) {
    private class Item(
        val data: Any?,
        val revision: Long,
        val lease: Long?,
    )

    /** One change as watches tell it; null [data] is a deletion. */
    private class Logged(
        val revision: Long,
        val key: String,
        val data: Any?,
    )

    private val items = TreeMap<String, Item>()
    private val log = ArrayList<Logged>()
    private val leases = HashMap<Long, Long>()
    private var revision = 1L
    private var nextLease = 1L
    private var changed = CompletableDeferred<Unit>()

    /** Told of each change: the key, its new value or null, and the revision. Called on the loop. */
    @Volatile var onChange: (String, Any?, Long) -> Unit = { _, _, _ -> }

    /** Refuses everything, as in an outage. */
    @Volatile var down = false

    /** Gives no answer at all, as if it were behind a cut. */
    @Volatile var unresponsive = false

    /** Submissions that one transaction may hold; a larger one is refused as too many. */
    @Volatile var mostSubmissions = Int.MAX_VALUE

    /** Bytes of a value and writes of a transaction that are permitted; a larger one is called malformed. */
    @Volatile var mostValueBytes = Int.MAX_VALUE

    @Volatile var mostWrites = Int.MAX_VALUE

    /** Puts [json] under [key], whatever the rules. */
    fun plant(
        key: String,
        json: String,
    ) {
        val done = CountDownLatch(1)
        loop.post {
            change(key, Json.parse(json.toByteArray()), null, ++revision)
            done.countDown()
        }
        done.await()
    }

    /** The lease that [key] hangs on, or null. To be called on the loop. */
    fun leaseOf(key: String): Long? = items[key]?.lease

    /** Answers one request. */
    suspend fun handle(r: HttpMessage): Response {
        expire()
        if (down) return Response.error(503, "trouble")
        while (unresponsive) delay(UNRESPONSIVE_STEP_MS)
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
                ok("""{"k":"$key","data":${text(item.data)},"mark":${item.revision},"tenancy":${item.lease}}""")
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
        if (method == "DELETE") end(id) else leases[id] = loop.nowMs() + RENEWED_MS
        return ok("{}")
    }

    private fun change(
        key: String,
        data: Any?,
        lease: Long?,
        at: Long,
    ) {
        if (data == null) items.remove(key) else items[key] = Item(data, at, lease)
        log.add(Logged(at, key, data))
        onChange(key, data, at)
        changed.complete(Unit)
        changed = CompletableDeferred()
    }

    private fun txn(body: Map<String, Any?>): Response {
        val failed =
            body["guards"]
                .asList()
                .orEmpty()
                .map { it.asMap()!! }
                .filter { g -> (items[g.string("k")]?.revision ?: 0) != g.long("mark") }
        if (failed.isNotEmpty()) {
            val names = failed.joinToString(",") { "\"${it.string("k")}\"" }
            return Response(409, """{"failed":[$names],"ledger":$revision}""".toByteArray())
        }
        val writes = body["writes"].asList().orEmpty().map { it.asMap()!! }
        val keys = writes.map { it.string("write") ?: it.string("delete") }
        if (keys.toSet().size < keys.size) return Response.error(400, "a key is written twice")
        if (writes.size > mostWrites) return Response.error(400, "too many writes")
        if (writes.any { text(it["data"]).length > mostValueBytes }) return Response.error(400, "a value is too large")
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

        fun news(): List<Logged> {
            val found = log.binarySearch { if (it.revision <= after) -1 else 1 }
            return log.subList(-found - 1, log.size).filter { it.key.startsWith(prefix) }
        }
        withTimeoutOrNull(query.getValue("waitMs").toLong()) {
            while (news().isEmpty()) withTimeoutOrNull(LEASE_CHECK_MS) { changed.await() } ?: expire()
        }
        val entries =
            news().joinToString(",") {
                if (it.data ==
                    null
                ) {
                    """{"delete":"${it.key}","mark":${it.revision}}"""
                } else {
                    """{"write":"${it.key}","data":${text(it.data)},"mark":${it.revision}}"""
                }
            }
        return ok("""{"ledger":$revision,"log":[$entries]}""")
    }

    private fun list(query: Map<String, String>): Response {
        val found = items.entries.filter { it.key.startsWith(query.getValue("starts")) && it.key > (query["after"] ?: "") }
        val page = found.take(query.getValue("most").toInt())
        val entries = page.joinToString(",") { """{"k":"${it.key}","data":${text(it.value.data)},"mark":${it.value.revision}}""" }
        return ok("""{"entries":[$entries],"hasNext":${found.size > page.size},"ledger":$revision}""")
    }

    private fun text(value: Any?): String =
        when (value) {
            is Map<*, *> -> value.entries.joinToString(",", "{", "}") { "\"${it.key}\":${text(it.value)}" }
            is List<*> -> value.joinToString(",", "[", "]") { text(it) }
            is String -> "\"$value\""
            else -> value.toString()
        }

    private companion object {
        /** Milliseconds that any renewed lease gets; the only lease renewed is the leader's. */
        const val RENEWED_MS = 3_500L
        const val UNRESPONSIVE_STEP_MS = 50L
        const val LEASE_CHECK_MS = 200L
    }
}
