package mintfield.io.store

import mintfield.io.http.HttpStatus

/** The result of a call to the store. */
sealed interface StoreResult<out T> {
    /** The store responded with [value]. */
    data class Ok<T>(
        val value: T,
    ) : StoreResult<T>

    /** The call was not executed and will not be. */
    data class Refused(
        /** The HTTP status of the response; [NOT_SENT] if the request was not sent. */
        val status: Int,
    ) : StoreResult<Nothing> {
        /** Whether all controllers together exceeded the permitted rate. */
        val isRateLimited: Boolean get() = status == HttpStatus.TOO_MANY_REQUESTS
    }

    /** No usable response: unknown whether the call was executed, and it may still be executed later. */
    data class Unknown(
        /** The reason, for the log. */
        val reason: String,
        /** Whether a response was received that is longer than the client accepts. */
        val tooLarge: Boolean = false,
    ) : StoreResult<Nothing>

    /** Status of a request without a response. */
    companion object {
        /** The status of a request that could not be sent. */
        const val NOT_SENT = 0
    }
}

/** Applies [transform] to the value of a successful result. Other results are returned unchanged. */
internal inline fun <A, B> StoreResult<A>.map(transform: (A) -> B): StoreResult<B> =
    when (this) {
        is StoreResult.Ok -> StoreResult.Ok(transform(value))
        is StoreResult.Refused -> this
        is StoreResult.Unknown -> this
    }
