package mintfield.io.store

import mintfield.io.http.HttpStatus

/** The result of a call to the store. */
sealed interface StoreResult<out T> {
    /** The store answered with [value]. */
    data class Ok<T>(
        val value: T,
    ) : StoreResult<T>

    /** The call was not executed and will not be. */
    data class Refused(
        /** The status of the response; [NOT_SENT] if the request never left. */
        val status: Int,
    ) : StoreResult<Nothing> {
        /** The permitted rate was exceeded, by all controllers together. */
        val rateLimited: Boolean get() = status == HttpStatus.TOO_MANY_REQUESTS
    }

    /** No usable response: the call was executed, or was not, or will be later. */
    data class Unknown(
        /** What happened, for the log. */
        val reason: String,
        /** A response came, but it is longer than the client accepts. */
        val tooLarge: Boolean = false,
    ) : StoreResult<Nothing>

    /** Statuses that stand for the lack of a response. */
    companion object {
        /** The status of a request that could not be sent. */
        const val NOT_SENT = 0
    }
}

/** This result with its value, if there is one, replaced by what [transform] makes of it. */
internal inline fun <A, B> StoreResult<A>.map(transform: (A) -> B): StoreResult<B> =
    when (this) {
        is StoreResult.Ok -> StoreResult.Ok(transform(value))
        is StoreResult.Refused -> this
        is StoreResult.Unknown -> this
    }
