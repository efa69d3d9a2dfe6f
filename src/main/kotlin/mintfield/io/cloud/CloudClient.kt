package mintfield.io.cloud

import mintfield.core.ScaleOutIntent
import mintfield.core.constants.FleetConstants
import mintfield.core.constants.StoreConstants
import mintfield.core.model.MachineType
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.loop.RateLimiter

/**
 * Client of the cloud that keeps its requests within the cloud's published rate. Its functions run on the event loop and suspend until a
 * response arrives or the call times out. They report failures as [CloudResult] and throw only on cancellation.
 */
class CloudClient(
    private val client: HttpClient,
    private val rateLimiter: RateLimiter,
) {
    /** Reads the machine types with their current prices. */
    suspend fun types(): CloudResult<List<MachineType>> = request("GET", "/machine_types", null) { CloudWire.types(it) }

    /** Provisions the machines of [intent] and returns their names. A repetition with the same idempotency key provisions no further machines. */
    suspend fun provision(intent: ScaleOutIntent): CloudResult<List<String>> =
        request("POST", "/rentals", CloudWire.provision(intent)) { CloudWire.machines(it) }

    /** Releases [machines]. Machines that the cloud does not know count as already released. */
    suspend fun release(machines: List<String>): CloudResult<Unit> = request("POST", "/rentals/delete", CloudWire.release(machines)) { }

    /** Lists the machines from the one that follows [after], or from the first one if it is null. The list may be out of date. */
    suspend fun list(after: String?): CloudResult<MachinePage> {
        val start = if (after == null) "" else "&after=$after"
        return request("GET", "/rentals?most=${StoreConstants.PAGE_ENTRIES}$start", null) { CloudWire.page(it) }
    }

    private suspend inline fun <T> request(
        method: String,
        path: String,
        body: ByteArray?,
        parse: (HttpResult.Received) -> T,
    ): CloudResult<T> {
        rateLimiter.acquire()
        return when (val result = client.call(method, path, body, FleetConstants.CLOUD_TIMEOUT_MS)) {
            is HttpResult.NoResponse -> CloudResult.Failed(result.reason)
            is HttpResult.Received ->
                when {
                    result.status == HttpStatus.OK -> CloudResult.Ok(parse(result))
                    result.status == HttpStatus.SERVICE_UNAVAILABLE && CloudWire.reportsNoCapacity(result) -> CloudResult.NoCapacity
                    else -> CloudResult.Failed("status ${result.status}")
                }
        }
    }
}
