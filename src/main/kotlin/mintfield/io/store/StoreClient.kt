package mintfield.io.store

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.loop.RateLimiter

/**
 * Client of the consensus-backed key-value store. It keeps its requests within the store's published rate; calls with `urgent` precede
 * all others that wait for the rate limiter. Its functions run on the event loop and suspend until a response or a time limit. They
 * report failures as [StoreResult] and throw only on cancellation.
 */
class StoreClient(
    private val calls: HttpClient,
    /** Client for long polls, which must not occupy the connections of other calls. */
    private val watches: HttpClient,
    private val requests: RateLimiter,
) {
    /** The outcome of a call, for the detection of failures of the store: served, refused, or without a response. */
    enum class Contact { SERVED, REFUSED, UNRESPONSIVE }

    /** Called with the outcome of each call, on the event loop. */
    var onContact: (Contact) -> Unit = {}

    private suspend fun request(
        method: String,
        path: String,
        body: ByteArray? = null,
        urgent: Boolean = false,
        timeoutMs: Long = StoreConstants.STORE_TIMEOUT_MS,
        client: HttpClient = calls,
    ): StoreResult<HttpResult.Received> {
        requests.acquire(1.0, urgent)
        return when (val result = client.call(method, path, body, timeoutMs)) {
            is HttpResult.Received -> recordResponse(result)
            is HttpResult.NoResponse -> recordNoResponse(result)
        }
    }

    private fun recordResponse(result: HttpResult.Received): StoreResult<HttpResult.Received> {
        val serverError = result.status >= HttpStatus.FIRST_SERVER_ERROR
        onContact(if (serverError) Contact.REFUSED else Contact.SERVED)
        return if (serverError || result.status == HttpStatus.TOO_MANY_REQUESTS) StoreResult.Refused(result.status) else StoreResult.Ok(result)
    }

    private fun recordNoResponse(result: HttpResult.NoResponse): StoreResult<Nothing> {
        onContact(Contact.UNRESPONSIVE)
        return if (result.sent) StoreResult.Unknown(result.reason, result.tooLarge) else StoreResult.Refused(StoreResult.NOT_SENT)
    }

    /** Reads the entry of [key]; null if there is none. */
    suspend fun get(
        key: String,
        urgent: Boolean = false,
    ): StoreResult<Entry?> =
        request("GET", "/store/$key", urgent = urgent).map { response ->
            if (response.status == HttpStatus.OK) StoreWire.entry(response, key) else null
        }

    /** Lists at most [limit] entries whose keys begin with [prefix], in the order of the keys: those after the key [after], or all if it is null. */
    suspend fun list(
        prefix: String,
        after: String?,
        limit: Int,
    ): StoreResult<Page> {
        val start = if (after == null) "" else "&after=$after"
        return request("GET", "/store?starts=$prefix$start&most=$limit", urgent = true).map { StoreWire.page(it) }
    }

    /** Applies all [writes] atomically if all [preconditions] hold, otherwise none. */
    suspend fun txn(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
        urgent: Boolean = false,
    ): StoreResult<TxnOutcome> = request("POST", "/txn", StoreWire.transaction(preconditions, writes), urgent).map { StoreWire.outcome(it) }

    /**
     * Waits up to [waitMs] milliseconds for changes after the revision [after] of keys that begin with [prefix]. With a [waitMs] of 0 it
     * returns the changes so far at once.
     */
    suspend fun watch(
        prefix: String,
        after: Long,
        waitMs: Long,
        urgent: Boolean = false,
    ): StoreResult<Changes> {
        val client = if (waitMs > 0) watches else calls
        val path = "/watch?starts=$prefix&after=$after&waitMs=$waitMs"
        val result = request("GET", path, urgent = urgent, timeoutMs = StoreConstants.STORE_TIMEOUT_MS + waitMs, client = client)
        // A repeated watch would get a response at least as long, whereas a listing is paged.
        if (result is StoreResult.Unknown && result.tooLarge) return StoreResult.Ok(Changes.TOO_OLD)
        return result.map { StoreWire.changes(it, after) }
    }

    /** Grants a lease that expires unless it is renewed within [durationMs] milliseconds. */
    suspend fun grantLease(durationMs: Long): StoreResult<Long> =
        request("POST", "/leases", StoreWire.leaseRequest(durationMs), urgent = true).map { StoreWire.lease(it) }

    /** Renews [lease] for its full time; false if it has expired. */
    suspend fun renewLease(lease: Long): StoreResult<Boolean> {
        val timeoutMs = LeadershipConstants.LEASE_RENEWAL_INTERVAL_MS
        return request("POST", "/leases/$lease/renew", ByteArray(0), urgent = true, timeoutMs = timeoutMs).map { it.status == HttpStatus.OK }
    }

    /** Ends [lease] at once, which deletes the keys attached to it. */
    suspend fun endLease(lease: Long): StoreResult<Unit> = request("DELETE", "/leases/$lease", urgent = true).map { }
}
