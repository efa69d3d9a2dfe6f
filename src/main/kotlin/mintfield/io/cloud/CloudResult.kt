package mintfield.io.cloud

/** The result of a call to the cloud. */
sealed interface CloudResult<out T> {
    /** The cloud executed the request; its response contains [value]. */
    data class Ok<T>(
        val value: T,
    ) : CloudResult<T>

    /** The cloud has no machine of the requested kind at present. */
    data object NoCapacity : CloudResult<Nothing>

    /** Another status or no response. Without a response it is unknown whether the request has been or will be executed. */
    data class Failed(
        /** The cause, for the log. */
        val reason: String,
    ) : CloudResult<Nothing>
}
