package mintfield.loopback

/** Fault that [FaultyStore] injects into one request. */
sealed interface StoreFault {
    /** The request is applied at once; the response is sent after [delayMs]. */
    data class DelayedResponse(
        val delayMs: Long,
    ) : StoreFault

    /** The request is applied at once; the client times out without a response. */
    data object LostResponse : StoreFault

    /** The request is applied after [delayMs], even if the client has timed out by then. */
    data class AppliedLate(
        val delayMs: Long,
    ) : StoreFault

    /** The request is not applied; the client times out without a response. */
    data object LostRequest : StoreFault

    /** The request is not applied; the response is an error with [status], sent at once. */
    data class Refused(
        val status: Int,
    ) : StoreFault
}
