package mintfield.io.worker

import mintfield.io.json.Json

/** The body of a response that redirects a worker to another controller. */
object WorkerRedirectCodec {
    private const val CONTROLLER = "steward"

    /** Redirects to the controller [to], or if that is null to whichever comes next in the worker's list. */
    fun encode(to: String?): ByteArray = Json.obj { to?.let { writeStringField(CONTROLLER, it) } }
}
