package mintfield.io.cloud

/** The result of a call to the cloud. */
sealed interface CloudResult<out T> {
    /** The cloud did what was asked and answered with [value]. */
    data class Ok<T>(
        val value: T,
    ) : CloudResult<T>

    /** The cloud has no machine of the requested kind at present. */
    data object NoCapacity : CloudResult<Nothing>

    /** Another status or no response; in the latter case the call may have been executed or may yet be. */
    data class Failed(
        /** What happened, for the log. */
        val reason: String,
    ) : CloudResult<Nothing>
}
