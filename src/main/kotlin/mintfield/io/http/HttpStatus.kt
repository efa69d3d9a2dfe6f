package mintfield.io.http

/** The HTTP status codes that the service sends and interprets. */
object HttpStatus {
    const val OK = 200
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409

    /** The request belongs at another controller. */
    const val MISDIRECTED_REQUEST = 421
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503
}
