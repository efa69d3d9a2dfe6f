package mintfield.io.cloud

import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.model.MachineType
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpStatus
import mintfield.io.http.Reply
import mintfield.io.loop.RateLimiter

/**
 * Client of the cloud, which paces its requests to the cloud's published rate. Its functions suspend until a response or a time limit and
 * run on the event loop; they report failures as [CloudResult] and throw only on cancellation.
 */
class CloudClient(
    private val client: HttpClient,
    private val rateLimiter: RateLimiter,
) {
    /** Reads the machine types with their current prices. */
    suspend fun types(): CloudResult<List<MachineType>> = ask("GET", "/machine_types", null) { CloudWire.types(it) }

    /** Provisions the machines of [intent] and returns their names. A repetition with the same idempotency key provisions no more. */
    suspend fun provision(intent: ScaleOutIntent): CloudResult<List<String>> = ask("POST", "/rentals", CloudWire.provision(intent)) { CloudWire.machines(it) }

    /** Releases [machines]; those that the cloud does not know are released already. */
    suspend fun release(machines: List<String>): CloudResult<Unit> = ask("POST", "/rentals/delete", CloudWire.release(machines)) { }

    /** Lists the machines from the one that follows [after], or from the first. The list may lag behind. */
    suspend fun list(after: String?): CloudResult<MachinePage> {
        val start = if (after == null) "" else "&after=$after"
        return ask("GET", "/rentals?most=${StoreConstants.PAGE_ENTRIES}$start", null) { CloudWire.page(it) }
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
                    reply.status == HttpStatus.OK -> CloudResult.Ok(read(reply))
                    reply.status == HttpStatus.SERVICE_UNAVAILABLE && CloudWire.reportsNoCapacity(reply) -> CloudResult.NoCapacity
                    else -> CloudResult.Failed("status ${reply.status}")
                }
        }
    }
}
