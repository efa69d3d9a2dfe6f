package mintfield.app.api

/** The result of writing a user's change. */
enum class WriteResult {
    /** It was written. */
    APPLIED,

    /** A precondition did not hold: nothing was written. */
    CONFLICT,

    /** The store did not accept it: nothing was written, and the user should try again later. */
    REFUSED,

    /** The store did not answer: it may be written or not, now or later. */
    UNKNOWN,
}
