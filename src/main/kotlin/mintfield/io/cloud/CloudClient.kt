package mintfield.io.cloud

import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.fleet.ListedMachine
import mintfield.core.model.MachineType
import mintfield.io.http.HttpClient
import mintfield.io.http.Reply
import mintfield.io.json.Json
import mintfield.io.json.asList
import mintfield.io.json.asMap
import mintfield.io.json.bool
import mintfield.io.json.double
import mintfield.io.json.string
import mintfield.io.loop.RateLimiter

sealed interface CloudResult<out T> {
    data class Ok<T>(
        val value: T,
    ) : CloudResult<T>

    data object NoCapacity : CloudResult<Nothing>

    data class Failed(
        val reason: String,
    ) : CloudResult<Nothing>
}

/** The cloud's interface, paced to the limit it publishes. */
class CloudClient(
    private val client: HttpClient,
    private val rateLimiter: RateLimiter,
) {
    suspend fun types(): CloudResult<List<MachineType>> =
        ask("GET", "/machine_types", null) { a ->
            a.json["breeds"]
                .asList()
                .orEmpty()
                .mapNotNull { it.asMap()?.let(::type) }
        }

    private fun type(m: Map<String, Any?>): MachineType? {
        return MachineType(
            name = m.string("sku") ?: return null,
            cpus = m.double("vcpus") ?: return null,
            gpus = m.double("cards") ?: 0.0,
            memoryGb = m.double("memoryGb") ?: return null,
            cacheGb = m.double("cacheGb") ?: 0.0,
            fetchGbPerS = m.double("fetchGbPerS") ?: 1.0,
            price = m.double("price") ?: 0.0,
            spotPrice = m.double("lowPrice") ?: 0.0,
            bootS = m.double("bootS") ?: 60.0,
            zones = m["fields"].asList().orEmpty().filterIsInstance<String>(),
        )
    }

    suspend fun provision(i: ScaleOutIntent): CloudResult<List<String>> {
        val body =
            Json.obj {
                writeStringField("plea", i.idempotencyKey)
                writeStringField("breed", i.type)
                writeStringField("field", i.zone)
                writeBooleanField("gleaning", i.spot)
                writeNumberField("number", i.number)
            }
        return ask("POST", "/rentals", body) { a ->
            a.json["plots"]
                .asList()
                .orEmpty()
                .filterIsInstance<String>()
        }
    }

    suspend fun release(machines: List<String>): CloudResult<Unit> {
        val body =
            Json.obj {
                writeArrayFieldStart("plots")
                machines.forEach { writeString(it) }
                writeEndArray()
            }
        return ask("POST", "/rentals/delete", body) { }
    }

    suspend fun list(after: String?): CloudResult<Pair<List<ListedMachine>, Boolean>> =
        ask("GET", "/rentals?most=${StoreConstants.PAGE_ENTRIES}" + (after?.let { "&after=$it" } ?: ""), null) { a ->
            val page =
                a.json["plots"].asList().orEmpty().mapNotNull { item ->
                    val m = item.asMap() ?: return@mapNotNull null
                    ListedMachine(
                        m.string("id") ?: return@mapNotNull null,
                        m.string("breed") ?: "",
                        m.string("field") ?: "",
                        m.bool("gleaning") ?: false,
                        m.string("stage") ?: "",
                        m.double("heldS") ?: 0.0,
                    )
                }
            page to (a.json["hasNext"] == true)
        }

    private suspend inline fun <T> ask(
        method: String,
        path: String,
        body: ByteArray?,
        read: (Reply.Answer) -> T,
    ): CloudResult<T> {
        rateLimiter.acquire()
        return when (val reply = client.call(method, path, body, FleetConstants.CLOUD_TIMEOUT_MS)) {
            is Reply.None -> CloudResult.Failed(reply.reason)
            is Reply.Answer ->
                when {
                    reply.status == 200 -> CloudResult.Ok(read(reply))
                    reply.status == 503 && reply.json.string("error") == "no capacity" -> CloudResult.NoCapacity
                    else -> CloudResult.Failed("status ${reply.status}")
                }
        }
    }
}
