package mintfield.app.api

/** The result of the write of a user's change. */
enum class WriteResult {
    /** The change was written. */
    APPLIED,

    /** A precondition failed and nothing was written. */
    CONFLICT,

    /** The change was not accepted by the queue or the store. Nothing was written, and the user should retry later. */
    REFUSED,

    /** The store did not respond. It is unknown whether the change was written, and it may still be written later. */
    UNKNOWN,
}
