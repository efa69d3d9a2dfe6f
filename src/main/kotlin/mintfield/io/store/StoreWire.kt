package mintfield.io.store

import com.fasterxml.jackson.core.JsonGenerator
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.long
import mintfield.io.json.string

/** The bodies of the store's requests and responses in the words of its protocol. */
internal object StoreWire {
    private const val KEY = "k"
    private const val DATA = "data"

    /** The revision of one key. */
    private const val KEY_REVISION = "mark"

    /** The revision of the whole store. */
    private const val STORE_REVISION = "ledger"
    private const val LEASE = "tenancy"
    private const val LEASE_DURATION_MS = "lifeMs"
    private const val PRECONDITIONS = "guards"
    private const val WRITES = "writes"
    private const val PUT_KEY = "write"
    private const val DELETED_KEY = "delete"
    private const val FAILED_KEYS = "failed"
    private const val ENTRIES = "entries"
    private const val HAS_NEXT = "hasNext"
    private const val CHANGES = "log"
    private const val ERROR = "error"
    private const val ERROR_NO_LEASE = "no such lease"

    /** The body of a transaction. */
    fun transaction(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
    ): ByteArray =
        Json.obj {
            writeArrayFieldStart(PRECONDITIONS)
            preconditions.forEach { precondition(this, it) }
            writeEndArray()
            writeArrayFieldStart(WRITES)
            writes.forEach { keyWrite(this, it) }
            writeEndArray()
        }

    private fun precondition(
        to: JsonGenerator,
        precondition: Precondition,
    ) = with(to) {
        writeStartObject()
        writeStringField(KEY, precondition.key)
        writeNumberField(KEY_REVISION, precondition.revision)
        writeEndObject()
    }

    private fun keyWrite(
        to: JsonGenerator,
        write: KeyWrite,
    ) = with(to) {
        writeStartObject()
        when (write) {
            is KeyWrite.Put -> {
                writeStringField(PUT_KEY, write.key)
                writeFieldName(DATA)
                writeRawValue(String(write.json, Charsets.UTF_8))
                write.lease?.let { writeNumberField(LEASE, it) }
            }
            is KeyWrite.Delete -> writeStringField(DELETED_KEY, write.key)
        }
        writeEndObject()
    }

    /** The outcome that the response to a transaction reports. */
    fun outcome(response: HttpResult.Received): TxnOutcome =
        when {
            response.status == HttpStatus.OK -> TxnOutcome.Applied(storeRevision(response) ?: 0)
            response.status == HttpStatus.CONFLICT -> TxnOutcome.Failed(failedKeys(response), storeRevision(response) ?: 0)
            response.json.string(ERROR) == ERROR_NO_LEASE -> TxnOutcome.LeaseNotFound
            else -> TxnOutcome.Malformed(String(response.body))
        }

    private fun failedKeys(response: HttpResult.Received): List<String> =
        response.json[FAILED_KEYS]
            .asList()
            .orEmpty()
            .filterIsInstance<String>()

    private fun storeRevision(response: HttpResult.Received): Long? = response.json.long(STORE_REVISION)

    /** The entry of [key] that a response holds. */
    fun entry(
        response: HttpResult.Received,
        key: String,
    ): Entry = entry(response.json, key)

    private fun entry(
        json: Map<String, Any?>,
        key: String,
    ) = Entry(json.string(KEY) ?: key, json[DATA].asMap() ?: emptyMap(), json.long(KEY_REVISION) ?: 0, json.long(LEASE))

    /** The page of a listing that a response holds. */
    fun page(response: HttpResult.Received): Page {
        val entries = response.json[ENTRIES].asList().orEmpty()
        return Page(
            entries = entries.mapNotNull { item -> item.asMap()?.let { entry(it, key = "") } },
            hasNext = response.json[HAS_NEXT] == true,
            revision = storeRevision(response) ?: 0,
        )
    }

    /** The changes after the revision [after] that the response to a watch holds. */
    fun changes(
        response: HttpResult.Received,
        after: Long,
    ): Changes {
        if (response.status == HttpStatus.GONE) return Changes.TOO_OLD
        val log = response.json[CHANGES].asList().orEmpty()
        return Changes(
            revision = storeRevision(response) ?: after,
            log = log.mapNotNull { item -> item.asMap()?.let(::change) },
            tooOld = false,
        )
    }

    private fun change(json: Map<String, Any?>): Change? {
        val revision = json.long(KEY_REVISION) ?: 0
        json.string(PUT_KEY)?.let { return Change(it, json[DATA].asMap() ?: emptyMap(), revision) }
        return json.string(DELETED_KEY)?.let { Change(it, data = null, revision) }
    }

    /** The body of a request for a lease of [durationMs]. */
    fun leaseRequest(durationMs: Long): ByteArray = Json.obj { writeNumberField(LEASE_DURATION_MS, durationMs) }

    /** The lease that a response grants; 0, which never exists, if it names none. */
    fun lease(response: HttpResult.Received): Long = response.json.long(LEASE) ?: 0
}
