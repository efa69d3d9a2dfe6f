package mintfield.io.store

import mintfield.core.constants.LeadershipConstants
import mintfield.core.constants.StoreConstants
import mintfield.io.http.HttpClient
import mintfield.io.http.HttpResult
import mintfield.io.http.HttpStatus
import mintfield.io.loop.RateLimiter

/**
 * Client of the consensus-backed key-value store, which paces its requests to the store's published rate. Its functions suspend until
 * a response or a time limit and run on the event loop; they report failures as [StoreResult] and throw only on cancellation. Calls
 * with `urgent` go before all others that wait for the rate.
 */
class StoreClient(
    private val calls: HttpClient,
    /** The client for calls that stay open for long, which must not occupy the connections of the others. */
    private val watches: HttpClient,
    private val requests: RateLimiter,
) {
    /** How the store responded to a call: it was served, refused, or not answered at all. */
    enum class Contact { SERVED, REFUSED, UNRESPONSIVE }

    /** Called after each call, on the event loop. */
    var onContact: (Contact) -> Unit = {}

    private suspend fun ask(
        method: String,
        path: String,
        body: ByteArray? = null,
        urgent: Boolean = false,
        timeoutMs: Long = StoreConstants.STORE_TIMEOUT_MS,
        client: HttpClient = calls,
    ): StoreResult<HttpResult.Received> {
        requests.acquire(1.0, urgent)
        return when (val reply = client.call(method, path, body, timeoutMs)) {
            is HttpResult.Received -> answered(reply)
            is HttpResult.NoResponse -> unanswered(reply)
        }
    }

    private fun answered(reply: HttpResult.Received): StoreResult<HttpResult.Received> {
        val serverError = reply.status >= HttpStatus.FIRST_SERVER_ERROR
        onContact(if (serverError) Contact.REFUSED else Contact.SERVED)
        return if (serverError || reply.status == HttpStatus.TOO_MANY_REQUESTS) StoreResult.Refused(reply.status) else StoreResult.Ok(reply)
    }

    private fun unanswered(reply: HttpResult.NoResponse): StoreResult<Nothing> {
        onContact(Contact.UNRESPONSIVE)
        return if (reply.sent) StoreResult.Unknown(reply.reason, reply.tooLarge) else StoreResult.Refused(StoreResult.NOT_SENT)
    }

    /** Reads the entry of [key]; null if there is none. */
    suspend fun get(
        key: String,
        urgent: Boolean = false,
    ): StoreResult<Entry?> =
        ask("GET", "/store/$key", urgent = urgent).map { answer ->
            if (answer.status == HttpStatus.OK) StoreWire.entry(answer, key) else null
        }

    /** Lists at most [most] entries whose keys begin with [prefix], from the one that follows the key [after], or from the first. */
    suspend fun list(
        prefix: String,
        after: String?,
        most: Int,
    ): StoreResult<Page> {
        val start = if (after == null) "" else "&after=$after"
        return ask("GET", "/store?starts=$prefix$start&most=$most", urgent = true).map { StoreWire.page(it) }
    }

    /** Carries out all [writes] atomically if all [preconditions] hold, and else none. */
    suspend fun txn(
        preconditions: List<Precondition>,
        writes: List<KeyWrite>,
        urgent: Boolean = false,
    ): StoreResult<TxnOutcome> = ask("POST", "/txn", StoreWire.transaction(preconditions, writes), urgent).map { StoreWire.outcome(it) }

    /**
     * Waits up to [waitMs] milliseconds for changes of keys that begin with [prefix], after the revision [after]. With a [waitMs] of 0 it
     * returns at once with the changes so far.
     */
    suspend fun watch(
        prefix: String,
        after: Long,
        waitMs: Long,
        urgent: Boolean = false,
    ): StoreResult<Changes> {
        val client = if (waitMs > 0) watches else calls
        val path = "/watch?starts=$prefix&after=$after&waitMs=$waitMs"
        val result = ask("GET", path, urgent = urgent, timeoutMs = StoreConstants.STORE_TIMEOUT_MS + waitMs, client = client)
        // A repeated watch would have a response of the same length or more, while a listing comes in pages.
        if (result is StoreResult.Unknown && result.tooLarge) return StoreResult.Ok(Changes.TOO_OLD)
        return result.map { StoreWire.changes(it, after) }
    }

    /** Grants a lease that expires unless it is renewed within [lifeMs] milliseconds. */
    suspend fun grantLease(lifeMs: Long): StoreResult<Long> = ask("POST", "/leases", StoreWire.leaseRequest(lifeMs), urgent = true).map { StoreWire.lease(it) }

    /** Renews [lease] for its full time; false if it has expired. */
    suspend fun renewLease(lease: Long): StoreResult<Boolean> {
        val timeoutMs = LeadershipConstants.LEASE_RENEWAL_INTERVAL_MS
        return ask("POST", "/leases/$lease/renew", ByteArray(0), urgent = true, timeoutMs = timeoutMs).map { it.status == HttpStatus.OK }
    }

    /** Ends [lease] at once, which deletes the keys attached to it. */
    suspend fun endLease(lease: Long): StoreResult<Unit> = ask("DELETE", "/leases/$lease", urgent = true).map { }
}
