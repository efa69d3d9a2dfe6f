package mintfield.io.http

/** The HTTP status codes that mintfield sends or distinguishes (RFC 9110). */
object HttpStatus {
    const val OK = 200
    const val CREATED = 201
    const val BAD_REQUEST = 400
    const val NOT_FOUND = 404
    const val METHOD_NOT_ALLOWED = 405
    const val CONFLICT = 409
    const val GONE = 410
    const val CONTENT_TOO_LARGE = 413
    const val MISDIRECTED_REQUEST = 421
    const val UNPROCESSABLE_CONTENT = 422
    const val TOO_MANY_REQUESTS = 429
    const val HEADER_FIELDS_TOO_LARGE = 431
    const val INTERNAL_SERVER_ERROR = 500
    const val NOT_IMPLEMENTED = 501
    const val SERVICE_UNAVAILABLE = 503

    /** The lowest status of a client or server error. */
    const val FIRST_ERROR = 400

    /** The lowest status of a server error. */
    const val FIRST_SERVER_ERROR = 500

    /** The reason phrase sent with [status]. Clients ignore reason phrases, so rarely sent codes share one. */
    fun reasonPhrase(status: Int): String =
        when (status) {
            OK -> "OK"
            CREATED -> "Created"
            BAD_REQUEST -> "Bad Request"
            NOT_FOUND -> "Not Found"
            METHOD_NOT_ALLOWED -> "Method Not Allowed"
            CONFLICT -> "Conflict"
            CONTENT_TOO_LARGE -> "Content Too Large"
            MISDIRECTED_REQUEST -> "Misdirected Request"
            UNPROCESSABLE_CONTENT -> "Unprocessable Content"
            TOO_MANY_REQUESTS -> "Too Many Requests"
            HEADER_FIELDS_TOO_LARGE -> "Request Header Fields Too Large"
            NOT_IMPLEMENTED -> "Not Implemented"
            SERVICE_UNAVAILABLE -> "Service Unavailable"
            else -> "Status"
        }
}
