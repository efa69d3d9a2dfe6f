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
 * A key-value store that speaks the protocol of the state service over a map in memory: revisions, preconditions, leases and watches.
 * The training run of the class-data archive and the tests use it. It enforces no rates, and every lease that is renewed gets the same
 * time.
 *
 * To be called on [loop] only, except [plant]; the settings of faults may be changed from any thread.
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

    /** Notified of each change: the key, its new value or null, and the revision. Called on the loop. */
    @Volatile var onChange: (String, Any?, Long) -> Unit = { _, _, _ -> }

    /** Refuses everything, as in an outage. */
    @Volatile var down = false

    /** Gives no answer at all, as behind a network partition. */
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
    suspend fun handle(request: HttpMessage): Response {
        expire()
        if (down) return Response.error(HttpStatus.SERVICE_UNAVAILABLE, "trouble")
        while (unresponsive) delay(UNRESPONSIVE_STEP_MS)
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
            path.startsWith("/leases/") -> lease(request.method, path.split('/')[2].toLong())
            path == "/store" -> list(query)
            else -> {
                val key = path.removePrefix("/store/")
                val item = items[key] ?: return Response(HttpStatus.NOT_FOUND, """{"ledger":$revision}""".toByteArray())
                ok("""{"k":"$key","data":${text(item.data)},"mark":${item.revision},"tenancy":${item.lease}}""")
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
        if (id !in leases) return Response.error(HttpStatus.NOT_FOUND, "no such lease")
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

    /** Why a transaction with these [writes] is not executed; null if it is. */
    private fun refusal(writes: List<Map<String, Any?>>): Response? {
        val keys = writes.map { it.string("write") ?: it.string("delete") }
        val malformed =
            when {
                keys.toSet().size < keys.size -> "a key is written twice"
                writes.size > mostWrites -> "too many writes"
                writes.any { text(it["data"]).length > mostValueBytes } -> "a value is too large"
                writes.any { write -> write.long("tenancy")?.let { it !in leases } == true } -> "no such lease"
                else -> null
            }
        if (malformed != null) return Response.error(HttpStatus.BAD_REQUEST, malformed)
        val submissions = writes.count { "/l/" in it.string("write").orEmpty() }
        return if (submissions > mostSubmissions) Response.error(HttpStatus.TOO_MANY_REQUESTS, "too many") else null
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
