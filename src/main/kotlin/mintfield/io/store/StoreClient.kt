package mintfield.io.store

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.io.http.HttpClient
import mintfield.io.http.Reply
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string
import mintfield.io.loop.RateLimiter

/** A key with its value, the revision of its last change and the store lease it hangs on. */
class Entry(
    val key: String,
    val data: Map<String, Any?>,
    val revision: Long,
    val lease: Long?,
)

/** One change as a watch tells it; a null [data] is a deletion. */
class Change(
    val key: String,
    val data: Map<String, Any?>?,
    val revision: Long,
)

sealed interface StoreResult<out T> {
    data class Ok<T>(
        val value: T,
    ) : StoreResult<T>

    /** Not executed. */
    data class Refused(
        val status: Int,
    ) : StoreResult<Nothing>

    /** No answer: executed, not executed, or to be executed later. */
    data class Unknown(
        val reason: String,
        /** An answer came, but it is longer than this program takes. */
        val tooLarge: Boolean = false,
    ) : StoreResult<Nothing>
}

class Page(
    val entries: List<Entry>,
    val hasNext: Boolean,
    val revision: Long,
)

class Changes(
    val revision: Long,
    val log: List<Change>,
    /** The revision asked for is too old, or too much has changed since; read anew. */
    val tooOld: Boolean,
) {
    /** The change with the highest revision: a list of changes is in no order that could be relied on. */
    fun newest(): Change? = log.maxByOrNull { it.revision }
}

sealed interface TxnOutcome {
    data class Applied(
        val revision: Long,
    ) : TxnOutcome

    data class Failed(
        val keys: List<String>,
        val revision: Long,
    ) : TxnOutcome

    data object LeaseGone : TxnOutcome

    /** It was not executed, and would not be if it came again: it is larger than is permitted, or wrong. */
    data class Malformed(
        val reason: String,
    ) : TxnOutcome
}

/** A change of one key. */
sealed interface KeyWrite {
    val key: String

    class Put(
        override val key: String,
        val json: ByteArray,
        val lease: Long? = null,
    ) : KeyWrite

    class Delete(
        override val key: String,
    ) : KeyWrite
}

class Precondition(
    val key: String,
    val revision: Long,
)

/** The store's interface, paced to the limits it publishes. */
class StoreClient(
    private val calls: HttpClient,
    private val watches: HttpClient,
    private val requests: RateLimiter,
) {
    /** What became of a call: the service did its work, refused it, or gave no answer at all. */
    enum class Contact { SERVED, REFUSED, UNRESPONSIVE }

    /** Told of each. */
    var onContact: (Contact) -> Unit = {}

    private suspend fun ask(
        method: String,
        path: String,
        body: ByteArray? = null,
        urgent: Boolean = false,
        timeoutMs: Long = StoreConstants.STORE_TIMEOUT_MS,
        client: HttpClient = calls,
    ): StoreResult<Reply.Answer> {
        requests.acquire(1.0, urgent)
        return when (val reply = client.call(method, path, body, timeoutMs)) {
            is Reply.Answer -> {
                onContact(if (reply.status < 500) Contact.SERVED else Contact.REFUSED)
                if (reply.status == 429 || reply.status >= 500) StoreResult.Refused(reply.status) else StoreResult.Ok(reply)
            }

            is Reply.None -> {
                onContact(Contact.UNRESPONSIVE)
                if (reply.sent) StoreResult.Unknown(reply.reason, reply.tooLarge) else StoreResult.Refused(0)
            }
        }
    }

    /** The entry, or null if there is none. */
    suspend fun get(
        key: String,
        urgent: Boolean = false,
    ): StoreResult<Entry?> =
        ask("GET", "/store/$key", urgent = urgent).map { a ->
            if (a.status == 200) entry(a.json, key) else null
        }

    suspend fun list(
        prefix: String,
        after: String?,
        most: Int,
    ): StoreResult<Page> =
        ask("GET", "/store?starts=$prefix" + (after?.let { "&after=$it" } ?: "") + "&most=$most", urgent = true).map { a ->
            val entries =
                a.json["entries"]
                    .asList()
                    .orEmpty()
                    .mapNotNull { it.asMap()?.let { e -> entry(e, "") } }
            Page(entries, a.json["hasNext"] == true, a.json.long("ledger") ?: 0)
        }

    suspend fun txn(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
        urgent: Boolean = false,
    ): StoreResult<TxnOutcome> {
        val result = ask("POST", "/txn", txnBody(preconditions, writes), urgent)
        return result.map { a ->
            when (a.status) {
                200 -> TxnOutcome.Applied(a.json.long("ledger") ?: 0)

                409 ->
                    TxnOutcome.Failed(
                        a.json["failed"]
                            .asList()
                            .orEmpty()
                            .filterIsInstance<String>(),
                        a.json.long("ledger") ?: 0,
                    )

                else ->
                    if (a.json.string("error") == "no such lease") {
                        TxnOutcome.LeaseGone
                    } else {
                        TxnOutcome.Malformed(String(a.body))
                    }
            }
        }
    }

    suspend fun watch(
        prefix: String,
        after: Long,
        waitMs: Long,
        urgent: Boolean = false,
    ): StoreResult<Changes> {
        val client = if (waitMs > 0) watches else calls
        val path = "/watch?starts=$prefix&after=$after&waitMs=$waitMs"
        val result = ask("GET", path, urgent = urgent, timeoutMs = StoreConstants.STORE_TIMEOUT_MS + waitMs, client = client)
        // Asked again it would be as long or longer: what it tells must be read by pages.
        if (result is StoreResult.Unknown && result.tooLarge) return StoreResult.Ok(Changes(0, emptyList(), tooOld = true))
        return result.map { a ->
            if (a.status == 410) return@map Changes(0, emptyList(), tooOld = true)
            val log =
                a.json["log"].asList().orEmpty().mapNotNull { item ->
                    val change = item.asMap() ?: return@mapNotNull null
                    val revision = change.long("mark") ?: 0
                    change.string("write")?.let { Change(it, change["data"].asMap() ?: emptyMap(), revision) }
                        ?: change.string("delete")?.let { Change(it, null, revision) }
                }
            Changes(a.json.long("ledger") ?: after, log, tooOld = false)
        }
    }

    suspend fun grantLease(lifeMs: Long): StoreResult<Long> =
        ask("POST", "/leases", Json.obj { writeNumberField("lifeMs", lifeMs) }, urgent = true).map { it.json.long("tenancy") ?: 0L }

    /** False if the lease has ended. */
    suspend fun renewLease(lease: Long): StoreResult<Boolean> =
        ask("POST", "/leases/$lease/renew", ByteArray(0), urgent = true, timeoutMs = LeadershipConstants.LEASE_RENEWAL_INTERVAL_MS).map { it.status == 200 }

    suspend fun endLease(lease: Long): StoreResult<Unit> = ask("DELETE", "/leases/$lease", urgent = true).map { }

    private inline fun <A, B> StoreResult<A>.map(f: (A) -> B): StoreResult<B> =
        when (this) {
            is StoreResult.Ok -> StoreResult.Ok(f(value))
            is StoreResult.Refused -> this
            is StoreResult.Unknown -> this
        }

    private fun entry(
        json: Map<String, Any?>,
        key: String,
    ) = Entry(json.string("k") ?: key, json["data"].asMap() ?: emptyMap(), json.long("mark") ?: 0, json.long("tenancy"))

    companion object {
        fun txnBody(
            preconditions: List<Precondition>,
            writes: List<KeyWrite>,
        ): ByteArray =
            Json.write { g ->
                g.writeStartObject()
                g.writeArrayFieldStart("guards")
                for (precondition in preconditions) {
                    g.writeStartObject()
                    g.writeStringField("k", precondition.key)
                    g.writeNumberField("mark", precondition.revision)
                    g.writeEndObject()
                }
                g.writeEndArray()
                g.writeArrayFieldStart("writes")
                for (w in writes) {
                    g.writeStartObject()
                    when (w) {
                        is KeyWrite.Put -> {
                            g.writeStringField("write", w.key)
                            g.writeFieldName("data")
                            g.writeRawValue(String(w.json, Charsets.UTF_8))
                            w.lease?.let { g.writeNumberField("tenancy", it) }
                        }

                        is KeyWrite.Delete -> {
                            g.writeStringField("delete", w.key)
                        }
                    }
                    g.writeEndObject()
                }
                g.writeEndArray()
                g.writeEndObject()
            }
    }
}
