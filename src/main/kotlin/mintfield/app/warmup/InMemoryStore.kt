package mintfield.app.warmup

import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.coroutines.withTimeoutOrNull
import mintfield.io.http.HttpMessage
import mintfield.io.http.HttpStatus
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
 * An in-memory implementation of the store's protocol: revisions, preconditions, leases and watches. Used by the training run for
 * the class-data archive and by tests. It enforces no request rates, and every renewal of a lease grants the same time.
 *
 * Must be called on [loop] only, except [forcePut]; the properties that inject faults may be set from any thread.
 */
class InMemoryStore(
    private val loop: EventLoop,
) {
    private class Item(
        val data: Any?,
        val revision: Long,
        val lease: Long?,
    )

    /** One change as delivered to watches; null [data] is a deletion. */
    private class LoggedChange(
        val revision: Long,
        val key: String,
        val data: Any?,
    )

    private val items = TreeMap<String, Item>()
    private val log = ArrayList<LoggedChange>()
    private val leases = HashMap<Long, Long>()
    private var revision = 1L
    private var nextLease = 1L
    private var changed = CompletableDeferred<Unit>()

    /** Called on [loop] for each change with the key, its new value, null for a deletion, and the revision. */
    @Volatile var onChange: (String, Any?, Long) -> Unit = { _, _, _ -> }

    /** Whether every request is refused, as in an outage. */
    @Volatile var down = false

    /** Whether requests are held without a response, as behind a network partition. */
    @Volatile var unresponsive = false

    /** Maximum number of submissions in a transaction; a larger transaction is refused with status 429. */
    @Volatile var maxSubmissions = Int.MAX_VALUE

    /** Maximum size of a value in bytes; a transaction with a larger value is refused with status 400. */
    @Volatile var maxValueBytes = Int.MAX_VALUE

    /** Maximum number of writes in a transaction; a larger transaction is refused with status 400. */
    @Volatile var maxWrites = Int.MAX_VALUE

    /** Stores [json] under [key] without preconditions, limits or a lease. Blocks, so it must not be called on [loop]. */
    fun forcePut(
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

    /** The lease that [key] is attached to; null if it has none or does not exist. Must be called on [loop]. */
    fun leaseOf(key: String): Long? = items[key]?.lease

    /** Handles one request; suspends while [unresponsive] is set. */
    suspend fun handle(request: HttpMessage): Response {
        expire()
        if (down) return Response.error(HttpStatus.SERVICE_UNAVAILABLE, "trouble")
        while (unresponsive) delay(UNRESPONSIVE_POLL_MS)
        val path = request.path.substringBefore('?')
        val query =
            request.path
                .substringAfter('?', "")
                .split('&')
                .associate { it.substringBefore('=') to it.substringAfter('=') }
        return when {
            path == "/txn" -> txn(Json.parseObject(request.body)!!)
            path == "/watch" -> watch(query)
            path == "/leases" -> {
                leases[nextLease] = loop.nowMs() + Json.parseObject(request.body)!!.long("lifeMs")!!
                ok("""{"tenancy":${nextLease++}}""")
            }
            path.startsWith("/leases/") -> renewOrEndLease(request.method, path.split('/')[2].toLong())
            path == "/store" -> list(query)
            else -> {
                val key = path.removePrefix("/store/")
                val item = items[key] ?: return Response(HttpStatus.NOT_FOUND, """{"ledger":$revision}""".toByteArray())
                ok("""{"k":"$key","data":${toJson(item.data)},"mark":${item.revision},"tenancy":${item.lease}}""")
            }
        }
    }

    private fun ok(body: String) = Response(HttpStatus.OK, body.toByteArray())

    private fun expire() {
        val now = loop.nowMs()
        leases
            .filter { it.value < now }
            .keys
            .toList()
            .forEach(::endLease)
    }

    private fun endLease(lease: Long) {
        leases.remove(lease)
        items
            .filter { it.value.lease == lease }
            .keys
            .toList()
            .forEach { change(it, null, null, ++revision) }
    }

    private fun renewOrEndLease(
        method: String,
        id: Long,
    ): Response {
        if (id !in leases) return Response.error(HttpStatus.NOT_FOUND, "no such lease")
        if (method == "DELETE") endLease(id) else leases[id] = loop.nowMs() + RENEWED_LEASE_MS
        return ok("{}")
    }

    private fun change(
        key: String,
        data: Any?,
        lease: Long?,
        at: Long,
    ) {
        if (data == null) items.remove(key) else items[key] = Item(data, at, lease)
        log.add(LoggedChange(at, key, data))
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
            return Response(HttpStatus.CONFLICT, """{"failed":[$names],"ledger":$revision}""".toByteArray())
        }
        val writes = body["writes"].asList().orEmpty().map { it.asMap()!! }
        refusal(writes)?.let { return it }
        if (writes.isNotEmpty()) revision++
        for (write in writes) {
            write.string("write")?.let { change(it, write["data"], write.long("tenancy"), revision) }
                ?: change(write.string("delete")!!, null, null, revision)
        }
        return ok("""{"ledger":$revision}""")
    }

    /** The error response to a transaction with [writes] that break a rule; null if it may be executed. */
    private fun refusal(writes: List<Map<String, Any?>>): Response? {
        val keys = writes.map { it.string("write") ?: it.string("delete") }
        val malformed =
            when {
                keys.toSet().size < keys.size -> "a key is written twice"
                writes.size > maxWrites -> "too many writes"
                writes.any { toJson(it["data"]).length > maxValueBytes } -> "a value is too large"
                writes.any { write -> write.long("tenancy")?.let { it !in leases } == true } -> "no such lease"
                else -> null
            }
        if (malformed != null) return Response.error(HttpStatus.BAD_REQUEST, malformed)
        val submissions = writes.count { "/l/" in it.string("write").orEmpty() }
        return if (submissions > maxSubmissions) Response.error(HttpStatus.TOO_MANY_REQUESTS, "too many") else null
    }

    private suspend fun watch(query: Map<String, String>): Response {
        val after = query.getValue("after").toLong()
        val prefix = query.getValue("starts")

        fun newChanges(): List<LoggedChange> {
            val found = log.binarySearch { if (it.revision <= after) -1 else 1 }
            return log.subList(-found - 1, log.size).filter { it.key.startsWith(prefix) }
        }
        withTimeoutOrNull(query.getValue("waitMs").toLong()) {
            while (newChanges().isEmpty()) withTimeoutOrNull(LEASE_CHECK_MS) { changed.await() } ?: expire()
        }
        val entries =
            newChanges().joinToString(",") {
                if (it.data ==
                    null
                ) {
                    """{"delete":"${it.key}","mark":${it.revision}}"""
                } else {
                    """{"write":"${it.key}","data":${toJson(it.data)},"mark":${it.revision}}"""
                }
            }
        return ok("""{"ledger":$revision,"log":[$entries]}""")
    }

    private fun list(query: Map<String, String>): Response {
        val found = items.entries.filter { it.key.startsWith(query.getValue("starts")) && it.key > (query["after"] ?: "") }
        val page = found.take(query.getValue("most").toInt())
        val entries = page.joinToString(",") { """{"k":"${it.key}","data":${toJson(it.value.data)},"mark":${it.value.revision}}""" }
        return ok("""{"entries":[$entries],"hasNext":${found.size > page.size},"ledger":$revision}""")
    }

    private fun toJson(value: Any?): String =
        when (value) {
            is Map<*, *> -> value.entries.joinToString(",", "{", "}") { "\"${it.key}\":${toJson(it.value)}" }
            is List<*> -> value.joinToString(",", "[", "]") { toJson(it) }
            is String -> "\"$value\""
            else -> value.toString()
        }

    private companion object {
        /** The time that each renewal grants to a lease. One value suffices, since only the leader's lease is renewed. */
        const val RENEWED_LEASE_MS = 3_500L
        const val UNRESPONSIVE_POLL_MS = 50L
        const val LEASE_CHECK_MS = 200L
    }
}
