package mintfield.io.http

/** The status codes of HTTP that mintfield gives or expects. */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val CONFLICT = 409

    /** What was asked for is no longer kept. */
    const val GONE = 410

    /** Well formed, but it can never be carried out. */
    const val UNPROCESSABLE = 422
    const val TOO_MANY_REQUESTS = 429
    const val SERVICE_UNAVAILABLE = 503

    /** The lowest status that reports a failure of either side. */
    const val FIRST_ERROR = 400

    /** The lowest status that reports a failure of the server. */
    const val FIRST_SERVER_ERROR = 500
}
